#ifndef POLLENWICK_AGENT_FRAMING_H
#define POLLENWICK_AGENT_FRAMING_H

#include <cstdint>
#include <optional>

#include "agent/HttpMessage.h"

namespace pollenwick::agent {

/// Whether the header of a message says without doubt where its body ends.
enum class Framing : std::uint8_t {
  Valid,
  /// The length or the transfer coding is malformed or ambiguous. Other
  /// programs on the way may see another end of the body.
  Malformed,
  UnknownCoding, ///< The body is chunked, but has another coding as well.
};

/// Checks the body framing of a message against RFC 9112, 6.1 and 6.3. It is
/// stricter in two points: a repeated `Content-Length` is malformed even if the
/// values agree, and so is an answer whose last transfer coding is not
/// `chunked`.
Framing checkFraming(const HeaderFields &Headers, unsigned HttpVersion);

/// Returns the value of `Content-Length`; no value if the header has none, has
/// several, or has one that is no length.
std::optional<std::uint64_t> contentLength(const HeaderFields &Headers);

/// Returns whether an answer with this status has no body, whatever its header
/// says.
bool isBodiless(unsigned Status);

} // namespace pollenwick::agent

#endif
