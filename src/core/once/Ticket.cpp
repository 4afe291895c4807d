#include "core/once/Ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <limits>

#include "absl/strings/escaping.h"

namespace pollenwick {
namespace {

constexpr std::string_view FormatPrefix = "1.";

void appendBigEndian(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int I = Bytes - 1; I >= 0; --I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xFF));
}

void appendLengthPrefixed(std::string &Out, const std::string &Text) {
  appendBigEndian(Out, Text.size(), 2);
  Out += Text;
}

// Every field has a fixed width or a length prefix, so two different tickets
// never share an encoding.
std::string encodeMacPayload(const Ticket &Subject) {
  std::string Out;
  appendLengthPrefixed(Out, Subject.Issuer.Host.Text);
  appendBigEndian(Out, Subject.Issuer.Start.Value, 8);
  appendBigEndian(Out, Subject.Sequence, 8);
  appendLengthPrefixed(Out, Subject.Customer.Text);
  appendLengthPrefixed(Out, Subject.Route.Text);
  const std::int64_t Expiry = Subject.Expiry.time_since_epoch().count();
  appendBigEndian(Out, static_cast<std::uint64_t>(Expiry), 8);
  return Out;
}

/// Reads encoded fields in order. `Failed` is set by the first read beyond the
/// end and stays set.
struct FieldReader {
  std::string_view Remaining;
  bool Failed = false;

  std::string_view readBytes(std::size_t Size) {
    if (Size > Remaining.size()) {
      Failed = true;
      return {};
    }
    const std::string_view Part = Remaining.substr(0, Size);
    Remaining.remove_prefix(Size);
    return Part;
  }
  std::uint64_t readNumber(int Bytes) {
    std::uint64_t Value = 0;
    for (const char C : readBytes(Bytes))
      Value = (Value << 8) | static_cast<std::uint8_t>(C);
    return Value;
  }
  std::string readText() { return std::string(readBytes(readNumber(2))); }
};

} // namespace

Mac computeTicketMac(const MacKey &Key, const Ticket &Subject) {
  const std::string Payload = encodeMacPayload(Subject);
  Mac Code{};
  unsigned Size = Code.size();
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Code.data(), &Size);
  return Code;
}

bool verifyTicketMac(const MacKey &Key, const Ticket &Subject) {
  const Mac Expected = computeTicketMac(Key, Subject);
  return CRYPTO_memcmp(Expected.data(), Subject.AuthTag.data(),
                       Expected.size()) == 0;
}

std::string encodeTicket(const Ticket &Subject) {
  std::string Bytes = encodeMacPayload(Subject);
  Bytes.append(Subject.AuthTag.begin(), Subject.AuthTag.end());
  return std::string(FormatPrefix) + absl::WebSafeBase64Escape(Bytes);
}

std::optional<Ticket> parseTicket(std::string_view Text) {
  if (Text.size() > MaxTicketTextBytes || !Text.starts_with(FormatPrefix))
    return std::nullopt;
  Text.remove_prefix(FormatPrefix.size());
  std::string Bytes;
  if (!absl::WebSafeBase64Unescape({Text.data(), Text.size()}, &Bytes))
    return std::nullopt;
  FieldReader Fields{Bytes};
  Ticket Result;
  Result.Issuer.Host = HostId(Fields.readText());
  Result.Issuer.Start = StartId(Fields.readNumber(8));
  Result.Sequence = Fields.readNumber(8);
  Result.Customer = CustomerId(Fields.readText());
  Result.Route = RouteId(Fields.readText());
  const auto Expiry = static_cast<std::int64_t>(Fields.readNumber(8));
  Result.Expiry = Instant(Duration(Expiry));
  std::ranges::copy(Fields.readBytes(Result.AuthTag.size()),
                    Result.AuthTag.begin());
  if (Fields.Failed || !Fields.Remaining.empty())
    return std::nullopt;
  return Result;
}

} // namespace pollenwick
