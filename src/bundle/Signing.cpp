#include "bundle/Signing.h"

#include <algorithm>
#include <memory>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "bundle/Digests.h"
#include "bundle/Published.h"

namespace pollenwick {
namespace {

struct OpenSslDeleter {
  void operator()(EVP_PKEY *Key) const { EVP_PKEY_free(Key); }
  void operator()(EVP_MD_CTX *Context) const { EVP_MD_CTX_free(Context); }
};
using EvpKeyPtr = std::unique_ptr<EVP_PKEY, OpenSslDeleter>;
using EvpDigestContextPtr = std::unique_ptr<EVP_MD_CTX, OpenSslDeleter>;

// The prefix prevents a pointer signature from being valid for a document of
// another kind.
std::string signatureMessage(const RevisionPointer &Head) {
  return absl::StrCat("pollenwick pointer 1\n", digestToHex(Head.Root));
}

const unsigned char *bytesOf(const std::string &Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

bool hasValidSignature(const RevisionPointer &Head, const PublicKey &Key) {
  const EvpKeyPtr Handle(EVP_PKEY_new_raw_public_key(
      EVP_PKEY_ED25519, nullptr, Key.Bytes.data(), Key.Bytes.size()));
  const EvpDigestContextPtr Context(EVP_MD_CTX_new());
  if (!Handle || !Context)
    return false;
  const std::string Message = signatureMessage(Head);
  return EVP_DigestVerifyInit(Context.get(), nullptr, nullptr, nullptr,
                              Handle.get()) == 1 &&
         EVP_DigestVerify(Context.get(), Head.OperatorSignature.data(),
                          Head.OperatorSignature.size(), bytesOf(Message),
                          Message.size()) == 1;
}

template <typename Key>
absl::StatusOr<Key> parseKey(std::string_view Text, const char *Kind) {
  const absl::string_view Trimmed =
      absl::StripAsciiWhitespace(absl::string_view(Text.data(), Text.size()));
  Key Result;
  if (!parseHex({Trimmed.data(), Trimmed.size()}, Result.Bytes.data(),
                Result.Bytes.size()))
    return absl::InvalidArgumentError(absl::StrCat(
        Kind, " key is not 64 lower-case hex digits (", Trimmed.size(),
        " characters were given); use a file written by "
        "`pollenwick-bundle keygen`"));
  return Result;
}

} // namespace

absl::StatusOr<PublicKey> derivePublicKey(const PrivateKey &Key) {
  const EvpKeyPtr Handle(EVP_PKEY_new_raw_private_key(
      EVP_PKEY_ED25519, nullptr, Key.Bytes.data(), Key.Bytes.size()));
  PublicKey Result;
  std::size_t Size = Result.Bytes.size();
  if (!Handle || EVP_PKEY_get_raw_public_key(Handle.get(), Result.Bytes.data(),
                                             &Size) != 1)
    return absl::InternalError("libcrypto rejected the Ed25519 private key; "
                               "create a new key pair with `keygen`");
  return Result;
}

absl::StatusOr<KeyPair> generateKeyPair() {
  KeyPair Pair;
  if (RAND_priv_bytes(Pair.Private.Bytes.data(),
                      static_cast<int>(Pair.Private.Bytes.size())) != 1)
    return absl::UnavailableError(
        "the system's random source returned no bytes; try again");
  absl::StatusOr<PublicKey> Public = derivePublicKey(Pair.Private);
  if (!Public.ok())
    return Public.status();
  Pair.Public = *Public;
  return Pair;
}

absl::StatusOr<std::string> generateCustomerKey() {
  std::array<std::uint8_t, 24> Bytes{};
  if (RAND_priv_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    return absl::UnavailableError(
        "the system's random source returned no bytes; try again");
  return absl::StrCat("pw_", bytesToHex(Bytes.data(), Bytes.size()));
}

absl::StatusOr<PublicKey> parsePublicKey(std::string_view Text) {
  return parseKey<PublicKey>(Text, "public");
}

absl::StatusOr<PrivateKey> parsePrivateKey(std::string_view Text) {
  return parseKey<PrivateKey>(Text, "private");
}

std::string keyToHex(const PublicKey &Key) {
  return bytesToHex(Key.Bytes.data(), Key.Bytes.size());
}

std::string keyToHex(const PrivateKey &Key) {
  return bytesToHex(Key.Bytes.data(), Key.Bytes.size());
}

absl::Status signPointer(RevisionPointer &Head, const PrivateKey &Key) {
  const EvpKeyPtr Handle(EVP_PKEY_new_raw_private_key(
      EVP_PKEY_ED25519, nullptr, Key.Bytes.data(), Key.Bytes.size()));
  const EvpDigestContextPtr Context(EVP_MD_CTX_new());
  Head.Root = computeRootDigest(Head);
  const std::string Message = signatureMessage(Head);
  std::size_t Size = Head.OperatorSignature.size();
  if (!Handle || !Context ||
      EVP_DigestSignInit(Context.get(), nullptr, nullptr, nullptr,
                         Handle.get()) != 1 ||
      EVP_DigestSign(Context.get(), Head.OperatorSignature.data(), &Size,
                     bytesOf(Message), Message.size()) != 1 ||
      Size != Head.OperatorSignature.size())
    return absl::InternalError("libcrypto could not sign the pointer; create "
                               "a new key pair with `keygen`");
  return absl::OkStatus();
}

absl::StatusOr<RevisionPointer>
verifyPointer(std::string_view Document,
              const std::vector<PublicKey> &Trusted) {
  absl::StatusOr<RevisionPointer> Head = parsePointer(Document);
  if (!Head.ok())
    return Head;
  if (std::none_of(Trusted.begin(), Trusted.end(), [&](const PublicKey &Key) {
        return hasValidSignature(*Head, Key);
      }))
    return absl::PermissionDeniedError(absl::StrCat(
        "pointer of revision ", Head->Number.Value, " (root ",
        digestToHex(Head->Root), ") has no valid signature by any of ",
        Trusted.size(),
        " trusted operator keys; sign it with a key that the nodes trust"));
  return Head;
}

} // namespace pollenwick
