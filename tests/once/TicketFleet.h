#ifndef POLLENWICK_TESTS_ONCE_TICKETFLEET_H
#define POLLENWICK_TESTS_ONCE_TICKETFLEET_H

#include <array>
#include <map>
#include <string>
#include <vector>

#include "../Choices.h"
#include "core/calls/OutgoingCalls.h"
#include "core/once/TicketStore.h"

namespace pollenwick {

inline const CustomerId Payer("payer");
inline const RouteId Deposit("cobros/deposit");

/// Simulates three nodes that serve one non-idempotent route, with a virtual
/// clock. Every message is a separate step, so that a kill, a pause or a
/// partition can occur between any two messages.
struct TicketFleet {
  static constexpr std::size_t Nodes = 3;

  // Faulty variants, which the tests must detect.
  bool SameIncarnation = false; ///< A restart keeps start id and key.
  bool TimeoutIsNotRun = false; ///< A timeout is reported as "not run".

  struct Node {
    TicketStore Store;
    OutgoingCalls Calls;
    bool Draining = false;
  };
  enum class Kind : std::uint8_t {
    Request,
    Forward,
    ReadyToSend,
    Call,
    Answer
  };
  struct Message {
    Kind Type = Kind::Request;
    unsigned From = 0;
    unsigned To = 0;
    std::string Ticket;
    Digest Body{};
    IncarnationId Issuer;
    CallId Id;
    std::uint64_t Sequence = 0;
    Outcome Result = Outcome::Unknown;
  };
  /// Counts of the events of one ticket over the whole run.
  struct TicketHistory {
    unsigned Executions = 0;
    unsigned SaidNotRun = 0; ///< Reports of "not run" to the caller.
    unsigned Replays = 0;
  };

  Choices &Draw;
  Instant Now{std::chrono::seconds(100)};
  std::array<Node, Nodes> Fleet;
  std::uint64_t Starts = 0;
  std::vector<Message> InTransit;
  std::vector<std::string> Tickets;
  std::map<std::string, TicketHistory> HistoryByTicket;
  std::array<bool, Nodes * Nodes> LinkCut{};

  explicit TicketFleet(Choices &Source) : Draw(Source) {
    for (unsigned N = 0; N < Nodes; ++N)
      start(N);
  }

  static HostId host(unsigned N) { return HostId("host" + std::to_string(N)); }

  void start(unsigned N) {
    const std::uint64_t Start = SameIncarnation ? 1 : ++Starts;
    const std::uint64_t Last = Fleet[N].Store.LastSequence;
    Fleet[N] = {};
    Fleet[N].Store.Self = {host(N), StartId(Start)};
    Fleet[N].Store.MacSecret[0] = static_cast<std::uint8_t>(Start);
    Fleet[N].Store.Limits.MaxTickets = 3;
    Fleet[N].Store.Limits.ExpiryGrace = std::chrono::seconds(2);
    Fleet[N].Calls.Self = Fleet[N].Store.Self;
    if (SameIncarnation)
      Fleet[N].Store.LastSequence = Last;
  }

  void kill(unsigned N) {
    // A kill loses the calls that the node claimed but has not sent. Messages
    // in transit still arrive.
    std::erase_if(InTransit, [&](const Message &M) {
      return M.Type == Kind::ReadyToSend && M.From == N;
    });
    start(N);
  }

  void issue() {
    Node &At = Fleet[Draw.pick(Nodes)];
    const auto Issued =
        issueTicket(At.Store, Payer, Deposit, std::chrono::seconds(4), Now);
    if (const auto *T = std::get_if<Ticket>(&Issued))
      Tickets.push_back(encodeTicket(*T));
  }

  void send() {
    if (Tickets.empty())
      return issue();
    Message M;
    M.To = Draw.pick(Nodes);
    M.From = M.To;
    M.Ticket = Tickets[Draw.pick(Tickets.size())];
    M.Body[0] = Draw.chance(10) ? 1 : 0;
    InTransit.push_back(M);
  }

  void recordOutcome(const std::string &Ticket, Outcome Result) {
    HistoryByTicket[Ticket].SaidNotRun += Result == Outcome::NotRun ? 1 : 0;
  }

  void dispatch(unsigned N, const Message &Claimed, std::uint64_t Sequence) {
    Message M = Claimed;
    M.Type = Kind::ReadyToSend;
    M.From = N;
    M.To = Draw.pick(Nodes);
    M.Issuer = Fleet[N].Store.Self;
    M.Sequence = Sequence;
    const auto Id = openOutgoingCall(
        Fleet[N].Calls, {host(M.To), Sequence, Now + std::chrono::seconds(1)});
    M.Id = *Id;
    InTransit.push_back(M);
  }

  void claim(const Message &M) {
    const auto Result =
        claimTicket(Fleet[M.To].Store, {M.Ticket, Payer, Deposit, M.Body}, Now);
    if (const auto *Run = std::get_if<ExecuteTicket>(&Result))
      dispatch(M.To, M, Run->Sequence);
    else if (const auto *Refused = std::get_if<Refusal>(&Result))
      recordOutcome(M.Ticket, Refused->Result);
    else if (std::holds_alternative<ReplayAnswer>(Result))
      ++HistoryByTicket[M.Ticket].Replays;
    else if (const auto *Other = std::get_if<ForwardToIssuer>(&Result)) {
      Message Next = M;
      Next.Type = Kind::Forward;
      Next.From = M.To;
      Next.To = Other->Issuer.Text.back() - '0';
      InTransit.push_back(Next);
    }
  }

  void run(const Message &M) {
    Message Back = M;
    Back.Type = Kind::Answer;
    std::swap(Back.From, Back.To);
    Back.Result = Fleet[M.To].Draining ? Outcome::NotRun : Outcome::Done;
    HistoryByTicket[M.Ticket].Executions +=
        Back.Result == Outcome::Done ? 1 : 0;
    InTransit.push_back(Back);
  }

  void finish(unsigned N, const Message &M, TicketResult Result) {
    recordOutcome(M.Ticket, Result.CallOutcome);
    finishTicket(Fleet[N].Store, M.Sequence, std::move(Result));
  }

  void receiveAnswer(const Message &M) {
    if (!closeOutgoingCall(Fleet[M.To].Calls, M.Issuer, M.Id, host(M.From)))
      return;
    if (M.Result == Outcome::NotRun && Draw.chance(50))
      return dispatch(M.To, M, M.Sequence); // Tries another node.
    TicketResult Result{M.Result, RefusalReason::Draining, {}};
    if (M.Result == Outcome::Done && Draw.chance(70))
      Result.Answer = TicketAnswer{200, "text/plain", "paid"};
    finish(M.To, M, std::move(Result));
  }

  void deliver(std::size_t Position) {
    Message M = InTransit[Position];
    InTransit.erase(InTransit.begin() + static_cast<std::ptrdiff_t>(Position));
    if (M.Type != Kind::ReadyToSend && LinkCut[M.From * Nodes + M.To])
      return; // The message is lost.
    switch (M.Type) {
    case Kind::Request:
    case Kind::Forward:
      return claim(M);
    case Kind::ReadyToSend:
      M.Type = Kind::Call;
      InTransit.push_back(M);
      return;
    case Kind::Call:
      return run(M);
    case Kind::Answer:
      return receiveAnswer(M);
    }
  }

  void advanceTime() {
    Now += std::chrono::milliseconds(250 * (1 + Draw.pick(12)));
    for (Node &N : Fleet) {
      for (const OutgoingCall &Late : closeOverdueOutgoingCalls(N.Calls, Now)) {
        finishTicket(N.Store, Late.WaiterId,
                     {TimeoutIsNotRun ? Outcome::NotRun : Outcome::Unknown,
                      RefusalReason::DeadlineExceeded,
                      {}});
      }
      expireTickets(N.Store, Now);
    }
  }

  void step() {
    const unsigned Roll = Draw.pick(100);
    if (Roll < 8)
      issue();
    else if (Roll < 30)
      send();
    else if (Roll < 36)
      advanceTime();
    else if (Roll < 40)
      kill(Draw.pick(Nodes));
    else if (Roll < 43)
      Fleet[Draw.pick(Nodes)].Draining ^= true;
    else if (Roll < 46)
      LinkCut[Draw.pick(Nodes * Nodes)] ^= true;
    else if (!InTransit.empty()) {
      const std::size_t At = Draw.pick(InTransit.size());
      if (Roll < 50 && InTransit[At].Type != Kind::ReadyToSend)
        InTransit.erase(InTransit.begin() + static_cast<std::ptrdiff_t>(At));
      else if (Roll < 56 && InTransit[At].Type != Kind::ReadyToSend &&
               InTransit[At].Type != Kind::Call)
        // Duplicates a message. Calls are not duplicated, because each travels
        // on one TCP connection.
        InTransit.push_back(InTransit[At]);
      else
        deliver(At);
    }
  }

  /// Runs the whole schedule. Then ends all partitions and drains, and resends
  /// every ticket three times, delivering all messages each time.
  void runAll() {
    while (!Draw.done())
      step();
    LinkCut = {};
    for (Node &N : Fleet)
      N.Draining = false;
    for (int Round = 0; Round < 3; ++Round) {
      for (const std::string &Ticket : Tickets)
        InTransit.push_back({Kind::Request, 0, 0, Ticket, {}, {}, {}, 0, {}});
      while (!InTransit.empty())
        deliver(0);
      advanceTime();
    }
  }
};

} // namespace pollenwick

#endif
