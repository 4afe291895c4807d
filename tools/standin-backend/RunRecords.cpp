#include "RunRecords.h"

namespace pollenwick::tools {
namespace {

constexpr std::size_t MaxCustomers = 1000;
constexpr std::size_t MaxLeakedHeaders = 100;

} // namespace

void RunRecords::addRun(const std::string &RequestId, const std::string &Route,
                        const std::string &Customer) {
  const std::lock_guard Lock(Mutex);
  ++Total;
  ++RunsSinceDrain;
  LastRun = Clock::now();
  if (Customers.size() < MaxCustomers || Customers.contains(Customer))
    ++Customers[Customer];
  const auto [Entry, New] = Runs.try_emplace(Route + ' ' + RequestId, 0);
  ++Entry->second;
  if (!New)
    return;
  Order.push_back(Entry->first);
  if (Order.size() > MaxRuns) {
    Runs.erase(Order.front());
    Order.pop_front();
    ++Dropped;
  }
}

void RunRecords::addLeakedHeader(const std::string &Name,
                                 const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  if (LeakedHeaders.size() < MaxLeakedHeaders)
    LeakedHeaders.insert(Name + ": " + Value);
}

void RunRecords::markDrain() {
  const std::lock_guard Lock(Mutex);
  DrainStart = Clock::now();
  RunsSinceDrain = 0;
}

JsonObject::Ptr RunRecords::report(bool WithRuns) {
  const std::lock_guard Lock(Mutex);
  JsonObject::Ptr Out = new JsonObject;
  Out->set("total", Total);
  Out->set("dropped", Dropped);
  Out->set("runs_since_drain", RunsSinceDrain);
  using Milliseconds = std::chrono::duration<double, std::milli>;
  Out->set("last_run_after_drain_ms",
           DrainStart == Clock::time_point{} || RunsSinceDrain == 0
               ? -1.0
               : Milliseconds(LastRun - DrainStart).count());
  JsonObject::Ptr ByCustomer = new JsonObject;
  for (const auto &[Customer, Count] : Customers)
    ByCustomer->set(Customer, Count);
  Out->set("tenants", ByCustomer);
  JsonArray::Ptr Leaked = new JsonArray;
  for (const std::string &Header : LeakedHeaders)
    Leaked->add(Header);
  Out->set("leaked_headers", Leaked);
  if (!WithRuns)
    return Out;
  std::map<std::string, JsonObject::Ptr> ByRoute;
  for (const auto &[Key, Count] : Runs) {
    const std::size_t Space = Key.find(' ');
    JsonObject::Ptr &Row = ByRoute[Key.substr(0, Space)];
    if (!Row)
      Row = new JsonObject;
    Row->set(Key.substr(Space + 1), Count);
  }
  JsonObject::Ptr Routes = new JsonObject;
  for (const auto &[Route, Row] : ByRoute)
    Routes->set(Route, Row);
  Out->set("runs", Routes);
  return Out;
}

} // namespace pollenwick::tools
