#include <benchmark/benchmark.h>

#include <cstring>
#include <memory>
#include <string>

#include "core/calls/RunningCalls.h"
#include "core/keys/Keys.h"
#include "core/once/TicketStore.h"
#include "core/quarantine/Quarantine.h"

namespace pollenwick {
namespace {

const CustomerId Payer("tenant-1");
const RouteId Deposit("cobros/deposit");
constexpr Duration Lifetime = std::chrono::seconds(60);

Digest digestOf(std::uint64_t Number) {
  // Spreads the number over the first bytes, as a real digest does.
  const std::uint64_t Mixed = (Number + 1) * 0x9E3779B97F4A7C15U;
  Digest Result{};
  std::memcpy(Result.data(), &Mixed, sizeof(Mixed));
  return Result;
}

TicketStore makeBook(std::int64_t Tickets, std::size_t AnswerBytes) {
  TicketStore Store;
  Store.Self = {HostId("host-0001"), StartId(1)};
  Store.Limits.MaxTickets = 1U << 20;
  Store.Limits.MaxTicketsPerCustomer = 1U << 20;
  Store.Limits.MaxTotalAnswerBytes = 1U << 30;
  for (std::int64_t I = 0; I < Tickets; ++I) {
    const auto Minted = std::get<Ticket>(
        issueTicket(Store, Payer, Deposit, Lifetime, Instant()));
    const std::string Text = encodeTicket(Minted);
    claimTicket(Store, {Text, Payer, Deposit, {}}, Instant());
    TicketResult Result{Outcome::Done, {}, {}};
    if (AnswerBytes > 0)
      Result.Answer =
          TicketAnswer{201, "application/json", std::string(AnswerBytes, 'x')};
    finishTicket(Store, Minted.Sequence, Result);
  }
  return Store;
}

void mintAndClaim(benchmark::State &State) {
  TicketStore Store = makeBook(State.range(0), 0);
  Store.Limits.MaxTickets = 1U << 30;
  Store.Limits.MaxTicketsPerCustomer = 1U << 30;
  Instant Now;
  for (auto _ : State) {
    // A ticket per millisecond, forgotten after its time.
    Now += std::chrono::milliseconds(1);
    const auto Minted =
        std::get<Ticket>(issueTicket(Store, Payer, Deposit, Lifetime, Now));
    const std::string Text = encodeTicket(Minted);
    benchmark::DoNotOptimize(
        claimTicket(Store, {Text, Payer, Deposit, {}}, Now));
    expireTickets(Store, Now);
  }
}
BENCHMARK(mintAndClaim)->Arg(1'000)->Arg(10'000)->Arg(100'000);

void claimReplay(benchmark::State &State) {
  TicketStore Store =
      makeBook(State.range(0), static_cast<std::size_t>(State.range(1)));
  const auto Minted =
      std::get<Ticket>(issueTicket(Store, Payer, Deposit, Lifetime, Instant()));
  const std::string Text = encodeTicket(Minted);
  const TicketClaim Claim{Text, Payer, Deposit, {}};
  claimTicket(Store, Claim, Instant());
  finishTicket(Store, Minted.Sequence,
               {Outcome::Done, {}, TicketAnswer{201, "text/plain", "ok"}});
  for (auto _ : State)
    benchmark::DoNotOptimize(claimTicket(Store, Claim, Instant()));
  State.counters["bytes/ticket"] =
      static_cast<double>(memoryOf(Store)) /
      static_cast<double>(Store.UsedTickets.size());
}
BENCHMARK(claimReplay)->ArgsProduct({{1'000, 10'000, 100'000}, {0, 200}});

void subCall(benchmark::State &State) {
  Bundle Rules;
  RouteSpec Root;
  Root.Id = RouteId("a/book");
  Root.Calls = {{RouteId("b/stock"), 2}, {RouteId("b/pay"), 1}};
  RouteSpec Stock;
  Stock.Id = RouteId("b/stock");
  Stock.Service = ServiceId("b");
  RouteSpec Pay = Stock;
  Pay.Id = RouteId("b/pay");
  Rules.Routes = {Root, Stock, Pay};
  const RouteLookup Index =
      indexRoutes(std::make_shared<const Bundle>(std::move(Rules)));
  RunningCalls Running;
  Running.MaxCalls = 1U << 20;
  ServiceRetryBudgets Ratios;
  CallContext Context;
  Context.Customer = Payer;
  Context.Route = Root.Id;
  Context.Deadline = Instant() + Lifetime;
  const auto Handle = [](std::int64_t I) {
    CallHandle Result;
    std::memcpy(Result.Bytes.data(), &I, sizeof(I));
    return Result;
  };
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    beginCall(Running, Handle(I), Context);
    beginSubCall(Running, Index, Ratios, Handle(I), Stock.Id, Instant());
  }
  std::int64_t Next = 0;
  for (auto _ : State) {
    const CallHandle Parent = Handle(Next++ % State.range(0));
    const auto Begun =
        beginSubCall(Running, Index, Ratios, Parent, Pay.Id, Instant());
    finishSubCall(Running, Parent, std::get<SubCall>(Begun).Number,
                  Outcome::NotRun, 0);
    // Repeats after "not run" draw on the ratio; keep it filled.
    recordFirstAttempt(Ratios, Stock.Service, 1'000, Instant());
  }
  State.counters["bytes/call"] = static_cast<double>(memoryOf(Running)) /
                                 static_cast<double>(State.range(0));
}
BENCHMARK(subCall)->Arg(100)->Arg(1'000)->Arg(10'000);

void resolve(benchmark::State &State) {
  Bundle Rules;
  for (int I = 0; I < 8; ++I)
    Rules.Customers.push_back(
        {CustomerId("tenant-" + std::to_string(I)), {}, {}, 1});
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Rules.Keys.push_back({KeyDigest{digestOf(static_cast<std::uint64_t>(I))},
                          Rules.Customers[static_cast<std::size_t>(I % 8)].Id});
  const KeyIndex Index =
      indexKeys(std::make_shared<const Bundle>(std::move(Rules)));
  RouteSpec Route;
  Route.Customers = {CustomerId("tenant-1"), CustomerId("tenant-7")};
  std::uint64_t Next = 0;
  for (auto _ : State) {
    const KeyDigest Key{
        digestOf(Next++ % static_cast<std::uint64_t>(State.range(0)))};
    benchmark::DoNotOptimize(authorizeRequest(Index, Route, Key));
  }
  State.counters["bytes/key"] = static_cast<double>(memoryOf(Index)) /
                                static_cast<double>(State.range(0));
}
BENCHMARK(resolve)->Arg(1'000)->Arg(10'000)->Arg(100'000);

void quarantineStartFinish(benchmark::State &State) {
  Quarantine Store;
  Store.Self = {HostId("host-0001"), StartId(1)};
  const Instant Now(std::chrono::hours(1));
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    const Digest Body = digestOf(static_cast<std::uint64_t>(I));
    mergeSuspicions(Store,
                    {{fingerprintOf(Deposit, Payer, Body),
                      {HostId("host-0002"), {}, 1},
                      false,
                      {}}},
                    Now);
  }
  const Fingerprint Subject = fingerprintOf(Deposit, Payer, Digest{});
  for (auto _ : State) {
    benchmark::DoNotOptimize(tryStartCall(Store, Subject, Now));
    benchmark::DoNotOptimize(onCallFinished(Store, Subject, true, Now));
  }
  State.counters["bytes"] = static_cast<double>(memoryOf(Store));
}
BENCHMARK(quarantineStartFinish)->Arg(1)->Arg(100)->Arg(2'000);

void fingerprint(benchmark::State &State) {
  for (auto _ : State)
    benchmark::DoNotOptimize(fingerprintOf(Deposit, Payer, Digest{}));
}
BENCHMARK(fingerprint);

} // namespace
} // namespace pollenwick
