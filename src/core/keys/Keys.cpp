#include "core/keys/Keys.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

namespace pollenwick {
namespace {

Refusal refuse(RefusalReason Reason, std::string Message) {
  return {Outcome::NotRun, Reason, std::nullopt, std::move(Message)};
}

} // namespace

std::size_t KeyDigestHash::operator()(const KeyDigest &Key) const noexcept {
  std::size_t Hash = 0;
  std::memcpy(&Hash, Key.Bytes.data(), sizeof(Hash));
  return Hash;
}

KeyIndex indexKeys(std::shared_ptr<const Bundle> Rules) {
  KeyIndex Index;
  Index.Rules = std::move(Rules);
  absl::flat_hash_map<std::string_view, std::uint32_t> Positions;
  for (const CustomerSpec &Customer : Index.Rules->Customers)
    Positions.try_emplace(Customer.Id.Text, Positions.size());
  Index.Customers.reserve(Index.Rules->Keys.size());
  for (const KeySpec &Key : Index.Rules->Keys)
    if (const auto It = Positions.find(Key.Customer.Text);
        It != Positions.end())
      Index.Customers.try_emplace(Key.Key, It->second);
  return Index;
}

std::variant<AuthorizedCaller, Refusal>
authorizeRequest(const KeyIndex &Index, const RouteSpec &Route,
                 const std::optional<KeyDigest> &Key) {
  if (Route.Internal)
    return refuse(RefusalReason::RouteNotAllowed,
                  "route " + Route.Id.Text + " takes no calls from callers");
  const auto It = Key ? Index.Customers.find(*Key) : Index.Customers.end();
  if (It == Index.Customers.end()) {
    if (Route.Open)
      return AuthorizedCaller{};
    return refuse(RefusalReason::UnknownKey,
                  Key ? "the key is unknown or revoked; use a valid key"
                      : "Authorization is missing; send a bearer key");
  }
  const CustomerId &Customer = Index.Rules->Customers[It->second].Id;
  if (!Route.Open && !Route.Customers.empty() &&
      std::ranges::find(Route.Customers, Customer) == Route.Customers.end())
    return refuse(RefusalReason::RouteNotAllowed,
                  "route " + Route.Id.Text + " is not allowed for tenant " +
                      Customer.Text);
  return AuthorizedCaller{Customer};
}

std::optional<Refusal>
reauthorizeRequest(const KeyIndex &Index, const RouteSpec &Route,
                   const std::optional<KeyDigest> &Key,
                   const AuthorizedCaller &AuthorizedBefore) {
  auto Rechecked = authorizeRequest(Index, Route, Key);
  if (auto *Refused = std::get_if<Refusal>(&Rechecked))
    return std::move(*Refused);
  if (std::get<AuthorizedCaller>(Rechecked) == AuthorizedBefore || Route.Open)
    return std::nullopt;
  return refuse(RefusalReason::UnknownKey,
                "the key no longer belongs to tenant " +
                    AuthorizedBefore.Customer.Text +
                    "; send the request again");
}

std::size_t memoryOf(const KeyIndex &Index) {
  using Slot = std::pair<const KeyDigest, std::uint32_t>;
  return Index.Customers.capacity() * (sizeof(Slot) + 1);
}

} // namespace pollenwick
