#include "Payload.h"

#include <array>
#include <cstdint>
#include <cstring>

#include <openssl/sha.h>

namespace pollenwick::tools {

std::string payloadOf(std::string_view RequestId, std::size_t Bytes) {
  std::uint64_t State = 1469598103934665603ULL; // FNV-1a
  for (const unsigned char Letter : RequestId)
    State = (State ^ Letter) * 1099511628211ULL;
  std::string Body(Bytes, '\0');
  for (std::size_t At = 0; At < Bytes; At += sizeof State) {
    State += 0x9e3779b97f4a7c15ULL; // splitmix64
    std::uint64_t Word = State;
    Word = (Word ^ (Word >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Word = (Word ^ (Word >> 27)) * 0x94d049bb133111ebULL;
    Word ^= Word >> 31;
    std::memcpy(Body.data() + At, &Word, std::min(sizeof Word, Bytes - At));
  }
  return Body;
}

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash{};
  SHA256(reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
         Hash.data());
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const unsigned char Byte : Hash) {
    Hex += Digits[Byte >> 4];
    Hex += Digits[Byte & 15];
  }
  return Hex;
}

} // namespace pollenwick::tools
