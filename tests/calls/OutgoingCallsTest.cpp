#include <catch2/catch.hpp>

#include <map>

#include "../Choices.h"
#include "core/calls/OutgoingCalls.h"

using namespace pollenwick;

TEST_CASE("An answer reaches only the request that waits for it", "[calls]") {
  // Guards against completing a request with an answer that is late,
  // duplicated, out of order, addressed to an earlier incarnation or from
  // another host.
  CHECK(rc::check([] {
    struct Answer {
      IncarnationId To;
      CallId Id;
      HostId From;
      std::uint64_t Waiter = 0;
    };
    Choices Draw = drawChoices(500);
    OutgoingCalls Calls;
    Calls.Self = {HostId("host0"), StartId(1)};
    Calls.MaxCalls = 8;
    Instant Now;
    std::uint64_t Waiters = 0;
    std::vector<Answer> SentAnswers;
    std::map<std::uint64_t, int> Closed;
    const auto Close = [&](const std::vector<OutgoingCall> &Gone) {
      for (const OutgoingCall &Call : Gone)
        ++Closed[Call.WaiterId];
    };
    while (!Draw.done()) {
      const unsigned Which = Draw.pick(10);
      const HostId Peer("host" + std::to_string(1 + Draw.pick(3)));
      if (Which < 4) {
        const OutgoingCall Call{Peer, ++Waiters, Now + Duration(3)};
        if (const auto Id = openOutgoingCall(Calls, Call))
          SentAnswers.push_back({Calls.Self, *Id, Peer, Waiters});
      } else if (Which < 8 && !SentAnswers.empty()) {
        // The answer is not removed, so it may be delivered again later.
        Answer A = SentAnswers[Draw.pick(SentAnswers.size())];
        const bool Forged = Draw.chance(20);
        A.From = Forged ? HostId("host9") : A.From;
        if (const auto Call = closeOutgoingCall(Calls, A.To, A.Id, A.From)) {
          RC_ASSERT(!Forged);
          RC_ASSERT(Call->WaiterId == A.Waiter);
          ++Closed[Call->WaiterId];
        }
      } else if (Which == 8) {
        Now += Duration(1);
        Close(closeOverdueOutgoingCalls(Calls, Now));
        if (Draw.chance(20))
          Close(closeOutgoingCallsTo(Calls, Peer));
      } else if (Draw.chance(10)) {
        Calls.Self.Start.Value += 1;
        Calls.LastCallId = 0;
        Calls.Open.clear();
      }
      RC_ASSERT(Calls.Open.size() <= 8U);
    }
    for (const auto &[Waiter, Count] : Closed)
      RC_ASSERT(Count == 1);
  }));
}
