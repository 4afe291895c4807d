#ifndef POLLENWICK_AGENT_WIREFIELDS_H
#define POLLENWICK_AGENT_WIREFIELDS_H

#include <string>

#include "core/placement/Placement.h"
#include "peer/Mesh.capnp.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

// Conversions between the fields of messages to peers and the types in use
// here. The readers that are returned point into the argument.

capnp::Text::Reader text(const std::string &Value);
capnp::Data::Reader data(const std::string &Value);
std::string toString(capnp::Text::Reader Value);
std::string toString(capnp::Data::Reader Value);

/// Returns the time in microseconds, limited to the range of the field.
std::uint32_t toMicros(Duration Time);
/// Returns the time in milliseconds, limited to the range of the field.
std::uint32_t toMillis(Duration Time);

/// Returns a rate in thousandths, limited to the range of the field.
std::uint32_t toMilliPerS(double PerS);
double fromMilliPerS(std::uint32_t MilliPerS);

void putLoad(mesh::wire::Load::Builder Out, const ServerLoad &Load);
ServerLoad readLoad(mesh::wire::Load::Reader In);

} // namespace pollenwick::agent

#endif
