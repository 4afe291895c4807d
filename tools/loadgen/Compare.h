#ifndef POLLENWICK_TOOLS_COMPARE_H
#define POLLENWICK_TOOLS_COMPARE_H

#include "../common/Json.h"
#include "Exchange.h"

namespace pollenwick::tools {

struct CompareSettings {
  Target Node;
  Target Direct;
  std::chrono::milliseconds Timeout{0};
  int Count = 0;
  int Warmup = 0;
  std::chrono::microseconds Gap{0}; ///< Between two requests.
};

/// Alternates a request through the node and directly to a backend server, and
/// returns the latencies and their difference. The request is the first of the
/// plan. Throws Poco::Exception when one is not answered.
JsonObject::Ptr compareLatency(const CompareSettings &Settings,
                               const CustomerLoad &Load);

} // namespace pollenwick::tools

#endif
