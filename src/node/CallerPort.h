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

/// Translates between HTTP and the calls of the node.
struct CallHandlingContext {
  Ingress &RootIngress;
  Forwarder &CallForwarder;
  RunningCallService &Running;
  BundleStore &Bundles;
  Counters &NodeCounters;
  BodyMemoryBudget &BodyMemory;
};

/// Answers a request on the caller port.
void handleCallerRequest(const CallHandlingContext &Context,
                         Poco::Net::HTTPServerRequest &Request,
                         Poco::Net::HTTPServerResponse &Response);

/// Answers a sub-call of the local backend server on the egress port.
void handleEgressRequest(const CallHandlingContext &Context,
                         Poco::Net::HTTPServerRequest &Request,
                         Poco::Net::HTTPServerResponse &Response);

} // namespace pollenwick

#endif
