#ifndef POLLENWICK_AGENT_MESSAGEBODY_H
#define POLLENWICK_AGENT_MESSAGEBODY_H

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace pollenwick::agent {

/// Body of a message for the parsers of Boost.Beast. It is received into one
/// string that is not copied as it grows.
struct MessageBody {
  using value_type = std::string;

  /// Bytes after which the whole of `MaxReservedBytes` is reserved for a body
  /// without a length. Pages that are not written take no memory, while a
  /// string that grows step by step is held twice at each step.
  static constexpr std::size_t GrowingBytes = std::size_t{1024} * 1024;
  static constexpr std::size_t MaxReservedBytes = std::size_t{64} * 1024 * 1024;
  /// Room for the padding of `SharedBytes`.
  static constexpr std::size_t PaddingBytes = 8;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  // NOLINTNEXTLINE(readability-identifier-naming): Boost.Beast fixes the name.
  class reader {
  public:
    template <bool IsRequest, class Fields>
    explicit reader(boost::beast::http::header<IsRequest, Fields> & /*Head*/,
                    value_type &TheBody)
        : Body(TheBody) {}

    void init(const boost::optional<std::uint64_t> &Length,
              boost::system::error_code &Error) {
      Error = {};
      if (Length && *Length > 0)
        Body.reserve(static_cast<std::size_t>(
                         std::min<std::uint64_t>(*Length, MaxReservedBytes)) +
                     PaddingBytes);
    }
    template <class Buffers>
    std::size_t put(const Buffers &Pieces, boost::system::error_code &Error) {
      Error = {};
      const std::size_t Before = Body.size();
      for (const auto Piece : boost::beast::buffers_range_ref(Pieces)) {
        if (Body.size() + Piece.size() > Body.capacity() &&
            Body.size() + Piece.size() > GrowingBytes &&
            Body.capacity() < MaxReservedBytes)
          Body.reserve(MaxReservedBytes + PaddingBytes);
        Body.append(static_cast<const char *>(Piece.data()), Piece.size());
      }
      return Body.size() - Before;
    }
    void finish(boost::system::error_code &Error) { Error = {}; }

  private:
    value_type &Body;
  };
};

} // namespace pollenwick::agent

#endif
