#ifndef POLLENWICK_TOOLS_PAYLOAD_H
#define POLLENWICK_TOOLS_PAYLOAD_H

#include <cstddef>
#include <string>
#include <string_view>

namespace pollenwick::tools {

/// Body that a backend server sends for a request. Depends on the request id
/// alone, so that a caller detects the answer to another request.
std::string payloadOf(std::string_view RequestId, std::size_t Bytes);
/// SHA-256 in lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Data);

} // namespace pollenwick::tools

#endif
