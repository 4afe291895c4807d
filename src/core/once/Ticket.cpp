#include "core/once/Ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <limits>

#include "absl/strings/escaping.h"

namespace pollenwick {
namespace {

constexpr std::string_view Version = "1.";

void putNumber(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int I = Bytes - 1; I >= 0; --I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xFF));
}

void putText(std::string &Out, const std::string &Text) {
  putNumber(Out, Text.size(), 2);
  Out += Text;
}

// Every field has a fixed width or a length prefix, so two different tickets
// never share an encoding.
std::string payloadOf(const Ticket &Subject) {
  std::string Out;
  putText(Out, Subject.Issuer.Host.Text);
  putNumber(Out, Subject.Issuer.Start.Value, 8);
  putNumber(Out, Subject.Sequence, 8);
  putText(Out, Subject.Customer.Text);
  putText(Out, Subject.Route.Text);
  const std::int64_t Expiry = Subject.Expiry.time_since_epoch().count();
  putNumber(Out, static_cast<std::uint64_t>(Expiry), 8);
  return Out;
}

/// Reads the fields in order; `Failed` is sticky.
struct Reader {
  std::string_view Rest;
  bool Failed = false;

  std::string_view take(std::size_t Size) {
    if (Size > Rest.size()) {
      Failed = true;
      return {};
    }
    const std::string_view Part = Rest.substr(0, Size);
    Rest.remove_prefix(Size);
    return Part;
  }
  std::uint64_t number(int Bytes) {
    std::uint64_t Value = 0;
    for (const char C : take(Bytes))
      Value = (Value << 8) | static_cast<std::uint8_t>(C);
    return Value;
  }
  std::string text() { return std::string(take(number(2))); }
};

} // namespace

Mac ticketMac(const MacKey &Key, const Ticket &Subject) {
  const std::string Payload = payloadOf(Subject);
  Mac Code{};
  unsigned Size = Code.size();
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Code.data(), &Size);
  return Code;
}

bool macMatches(const MacKey &Key, const Ticket &Subject) {
  const Mac Expected = ticketMac(Key, Subject);
  return CRYPTO_memcmp(Expected.data(), Subject.AuthTag.data(),
                       Expected.size()) == 0;
}

std::string ticketText(const Ticket &Subject) {
  std::string Bytes = payloadOf(Subject);
  Bytes.append(Subject.AuthTag.begin(), Subject.AuthTag.end());
  return std::string(Version) + absl::WebSafeBase64Escape(Bytes);
}

std::optional<Ticket> parseTicket(std::string_view Text) {
  if (Text.size() > MaxTicketText || !Text.starts_with(Version))
    return std::nullopt;
  Text.remove_prefix(Version.size());
  std::string Bytes;
  if (!absl::WebSafeBase64Unescape({Text.data(), Text.size()}, &Bytes))
    return std::nullopt;
  Reader In{Bytes};
  Ticket Result;
  Result.Issuer.Host = HostId(In.text());
  Result.Issuer.Start = StartId(In.number(8));
  Result.Sequence = In.number(8);
  Result.Customer = CustomerId(In.text());
  Result.Route = RouteId(In.text());
  const auto Expiry = static_cast<std::int64_t>(In.number(8));
  Result.Expiry = Instant(Duration(Expiry));
  std::ranges::copy(In.take(Result.AuthTag.size()), Result.AuthTag.begin());
  if (In.Failed || !In.Rest.empty())
    return std::nullopt;
  return Result;
}

} // namespace pollenwick
