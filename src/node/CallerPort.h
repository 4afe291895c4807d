#ifndef POLLENWICK_NODE_CALLERPORT_H
#define POLLENWICK_NODE_CALLERPORT_H

#include "node/Ingress.h"
#include "node/RequestBody.h"
#include "node/RunningCallService.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace pollenwick {

/// Components of the node that the HTTP handlers below use.
struct CallHandlingContext {
  Ingress &RootIngress;
  Forwarder &CallForwarder;
  RunningCallService &Running;
  BundleStore &Bundles;
  Counters &NodeCounters;
  /// Limits the total size of the request bodies held in memory.
  BodyMemoryBudget &BodyMemory;
};

/// Reads a root request on the caller port, has the ingress handle it and
/// writes the reply.
void handleCallerRequest(const CallHandlingContext &Context,
                         Poco::Net::HTTPServerRequest &Request,
                         Poco::Net::HTTPServerResponse &Response);

/// Reads a sub-call of the local backend server on the egress port, forwards it
/// and writes the reply. A sub-call without a valid call handle is refused.
void handleEgressRequest(const CallHandlingContext &Context,
                         Poco::Net::HTTPServerRequest &Request,
                         Poco::Net::HTTPServerResponse &Response);

} // namespace pollenwick

#endif
