#include "bundle/Digests.h"

#include <openssl/evp.h>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace pollenwick {

Digest sha256(std::string_view Bytes) {
  Digest Result{};
  unsigned int Size = 0;
  if (EVP_Digest(Bytes.data(), Bytes.size(), Result.data(), &Size, EVP_sha256(),
                 nullptr) != 1 ||
      Size != Result.size())
    // libcrypto always provides SHA-256, so a failure means that memory ran
    // out.
    std::abort();
  return Result;
}

std::string bytesToHex(const std::uint8_t *Bytes, std::size_t Size) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Size * 2);
  for (std::size_t I = 0; I < Size; ++I) {
    Text.push_back(Digits[Bytes[I] >> 4U]);
    Text.push_back(Digits[Bytes[I] & 15U]);
  }
  return Text;
}

namespace {

int hexDigitValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  return -1;
}

} // namespace

bool parseHex(std::string_view Text, std::uint8_t *Out, std::size_t Size) {
  if (Text.size() != Size * 2)
    return false;
  for (std::size_t I = 0; I < Size; ++I) {
    const int High = hexDigitValue(Text[2 * I]);
    const int Low = hexDigitValue(Text[2 * I + 1]);
    if (High < 0 || Low < 0)
      return false;
    Out[I] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  return true;
}

std::string digestToHex(const Digest &Value) {
  return bytesToHex(Value.data(), Value.size());
}

absl::StatusOr<Digest> parseDigest(std::string_view Text) {
  Digest Result{};
  if (!parseHex(Text, Result.data(), Result.size()))
    return absl::InvalidArgumentError(absl::StrCat(
        "digest \"",
        absl::string_view(Text.data(), std::min<std::size_t>(Text.size(), 80)),
        "\" is not 64 lower-case hex digits; give the output of sha256sum"));
  return Result;
}

KeyDigest keyDigest(std::string_view KeyText) {
  return KeyDigest{sha256(KeyText)};
}

} // namespace pollenwick
