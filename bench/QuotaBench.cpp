#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <string>

#include "core/quota/Holder.h"
#include "core/quota/LeaseTable.h"

namespace {
std::size_t Allocations = 0;
std::int64_t LiveBytes = 0;
} // namespace

// Counts allocations of the measured code. The sized and array forms call
// these two.
[[gnu::noinline]] void *operator new(std::size_t Size) {
  ++Allocations;
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    throw std::bad_alloc();
  LiveBytes += static_cast<std::int64_t>(malloc_usable_size(Block));
  return Block;
}
[[gnu::noinline]] void operator delete(void *Block) noexcept {
  LiveBytes -= static_cast<std::int64_t>(malloc_usable_size(Block));
  std::free(Block);
}
[[gnu::noinline]] void operator delete(void *Block, std::size_t) noexcept {
  operator delete(Block);
}

using namespace pollenwick;

namespace {

Bundle bundleOf(int Customers) {
  Bundle Rules;
  Rules.Number = Revision(1);
  for (int I = 0; I < 3; ++I) {
    HostSpec Host;
    Host.Id = HostId("10.0.0." + std::to_string(I));
    Host.Zone = ZoneId("zone-" + std::to_string(I));
    Rules.Hosts.push_back(Host);
  }
  for (int I = 0; I < Customers; ++I)
    Rules.Customers.push_back({CustomerId("tenant-" + std::to_string(I)),
                               MicroTokens{200 * OneToken.Value},
                               MicroTokens{40 * OneToken.Value}, 1});
  return Rules;
}

const IncarnationId Self{HostId("10.0.0.0"), StartId(1)};

ViewLease wideLease(Instant Now) {
  ViewLease Lease;
  Lease.ConfirmedAt = Now;
  Lease.Until = Now + std::chrono::hours(1);
  Lease.AnchoredAt = Now - std::chrono::hours(1);
  Lease.HostsSince = {Revision(1), {}};
  return Lease;
}

void spendCached(benchmark::State &Run) {
  LeaseTable State = makeLeaseTable(Self, ZoneId("zone-0"));
  const Bundle Rules = bundleOf(static_cast<int>(Run.range(0)));
  applyBundle(State, Rules);
  const CustomerId &Customer = Rules.Customers.back().Id;
  const Instant Now{};
  const ViewLease Lease = wideLease(Now);
  BorrowSearch Search;
  Search.Customer = Customer;
  const BorrowStep Step = nextBorrowStep(State, Search, OneToken, 1, Now);
  BorrowReply Reply;
  Reply.Shard = Step.Request.Shard;
  Reply.Holder = {Step.Request.Holder, StartId(1)};
  Reply.Borrower = Self;
  Reply.Sequence = Step.Request.Sequence;
  Reply.Lease = LeaseId(1);
  Reply.Tokens = MicroTokens{INT64_MAX};
  Reply.Lifetime = std::chrono::hours(1);
  acceptLease(State, Reply, Now);
  const std::size_t Before = Allocations;
  for (auto Step : Run) {
    SpendResult Result = spend(State, Customer, Lease, Now);
    benchmark::DoNotOptimize(Result);
  }
  Run.counters["allocations"] = static_cast<double>(Allocations - Before);
}
BENCHMARK(spendCached)->Arg(8)->Arg(80)->Arg(800);

void lendOne(benchmark::State &Run) {
  Instant Now{};
  HolderState State = makeHolder(Self, ZoneId("zone-0"), Now);
  const Bundle Rules = bundleOf(8);
  const RevisionKey Key{Revision(1), {}};
  applyBundle(State, Rules, Key, {Key, {}}, nullptr, Now);
  Now += std::chrono::seconds(1);
  const ViewLease Lease = wideLease(Now);
  tickHolder(State, Lease, Now);
  BorrowRequest Request;
  Request.Shard = {Rules.Customers[0].Id, ZoneId("zone-0")};
  Request.Borrower = {HostId("10.0.0.1"), StartId(1)};
  Request.Needed = Request.Wanted = OneToken;
  Settlement Report{Request.Shard, Self, Request.Borrower, {{}}};
  for (auto Step : Run) {
    Now += std::chrono::milliseconds(20);
    LendResult Result = lend(State, Request, wideLease(Now), Now);
    Report.Reports[0] = {Result.Reply.Lease, OneToken, {}, true};
    applySettlement(State, Report, Now);
  }
}
BENCHMARK(lendOne);

/// Bytes in use on the heap per customer.
template <typename Make>
void memoryPerCustomer(benchmark::State &Run, Make MakeState) {
  const Bundle Rules = bundleOf(static_cast<int>(Run.range(0)));
  double Bytes = 0;
  for (auto Step : Run) {
    const std::int64_t Before = LiveBytes;
    auto State = MakeState(Rules);
    Bytes = static_cast<double>(LiveBytes - Before);
    benchmark::DoNotOptimize(State);
  }
  Run.counters["bytes"] = Bytes;
  Run.counters["bytes/tenant"] = Bytes / static_cast<double>(Run.range(0));
}

void holderMemory(benchmark::State &Run) {
  memoryPerCustomer(Run, [](const Bundle &Rules) {
    HolderState State = makeHolder(Self, ZoneId("zone-0"), Instant{});
    const RevisionKey Key{Revision(1), {}};
    applyBundle(State, Rules, Key, {Key, {}}, nullptr, Instant{});
    return State;
  });
}
BENCHMARK(holderMemory)->Arg(8)->Arg(80)->Arg(800);

void ingressMemory(benchmark::State &Run) {
  memoryPerCustomer(Run, [](const Bundle &Rules) {
    LeaseTable State = makeLeaseTable(Self, ZoneId("zone-0"));
    applyBundle(State, Rules);
    return State;
  });
}
BENCHMARK(ingressMemory)->Arg(8)->Arg(80)->Arg(800);

} // namespace
