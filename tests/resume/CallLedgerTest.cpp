#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include "../Choices.h"
#include "core/resume/CallLedger.h"

using namespace pollenwick;

namespace {

/// A sender and a receiver whose connection loses what is on its way whenever
/// it breaks. Calls that the sender hears of as never received are sent anew.
class LossyLink {
public:
  void send(std::uint64_t Call) { OnWay.push_back(send(Call, ++LastId)); }
  void deliver() {
    if (OnWay.empty())
      return;
    const Sent Item = OnWay.front();
    OnWay.erase(OnWay.begin());
    receiveCall(Ledger, Item.Id, {Item.Call, false});
    ++Runs[Item.Call];
  }
  void finishOne(Instant Now) {
    if (Ledger.Running.empty())
      return;
    const auto [Id, Call] = *Ledger.Running.begin();
    endCall(Ledger, Id);
    keepAnswer(Ledger, Id, std::to_string(Call.Number), Now);
    AnswersOnWay.push_back(Id);
  }
  void deliverAnswer() {
    if (AnswersOnWay.empty())
      return;
    Waiting.erase(AnswersOnWay.front());
    AnswersOnWay.erase(AnswersOnWay.begin());
  }
  /// The connection breaks and the sender asks on the next one. `Heard` is how
  /// many of the fates it hears before that one breaks too.
  void breakAndResume(std::size_t Heard, Instant Now) {
    OnWay.clear();
    AnswersOnWay.clear();
    const std::map<std::uint64_t, std::uint64_t> Asked = Waiting;
    std::vector<std::uint64_t> Ids;
    Ids.reserve(Asked.size());
    for (const auto &[Id, Call] : Asked)
      Ids.push_back(Id);
    CallLedger Next;
    const std::vector<CallFate> Fates = resumeCalls(&Ledger, Next, Ids, Now);
    Ledger = std::move(Next);
    for (std::size_t I = 0; I < std::min(Heard, Ids.size()); ++I)
      hear(Ids[I], Asked.at(Ids[I]), Fates[I]);
  }

  std::map<std::uint64_t, int> Runs;
  std::map<std::uint64_t, std::uint64_t> Waiting; ///< Call, by id.

private:
  void hear(std::uint64_t Id, std::uint64_t Call, CallFate Fate) {
    if (Fate == CallFate::Running)
      return;
    Waiting.erase(Id);
    if (Fate == CallFate::Answered)
      RC_ASSERT(*heldAnswer(Ledger, Id) == std::to_string(Call));
    if (Fate != CallFate::NeverReceived)
      return;
    RC_ASSERT(Runs[Call] == 0);
    send(Call);
  }

  struct Sent {
    std::uint64_t Id;
    std::uint64_t Call;
  };
  Sent send(std::uint64_t Call, std::uint64_t Id) {
    Waiting.emplace(Id, Call);
    return {Id, Call};
  }

  std::uint64_t LastId = 0;
  std::vector<Sent> OnWay;
  std::vector<std::uint64_t> AnswersOnWay;
  CallLedger Ledger;
};

} // namespace

TEST_CASE("A call that is sent again has not run before", "[resume]") {
  // Guards against a payment that runs twice because its connection broke, and
  // against "not run" for a call that was received.
  CHECK(rc::check([] {
    Choices Draw = drawChoices(300);
    LossyLink Link;
    Instant Now(std::chrono::seconds(1));
    std::uint64_t Calls = 0;
    while (!Draw.done()) {
      Now += std::chrono::milliseconds(Draw.pick(200));
      switch (Draw.pick(6)) {
      case 0:
        Link.send(++Calls);
        break;
      case 1:
      case 2:
        Link.deliver();
        break;
      case 3:
        Link.finishOne(Now);
        break;
      case 4:
        Link.deliverAnswer();
        break;
      default:
        if (Draw.chance(30))
          Link.breakAndResume(Draw.pick(4), Now);
      }
    }
    for (const auto &[Call, Runs] : Link.Runs)
      RC_ASSERT(Runs <= 1);
  }));
}

TEST_CASE("What became of a call is known for a moment", "[resume]") {
  CallLedger Ledger;
  Instant Now(std::chrono::seconds(1));
  receiveCall(Ledger, 3, {70, false});
  receiveCall(Ledger, 5, {71, true});
  CHECK(fateOf(Ledger, 3) == CallFate::Running);
  CHECK(fateOf(Ledger, 6) == CallFate::NeverReceived);
  // Ids of other connections lie between: nothing is known of them here.
  CHECK(fateOf(Ledger, 4) == CallFate::Unknown);
  CHECK(keepsAnswer(Ledger, 3));
  CHECK_FALSE(keepsAnswer(Ledger, 5));
  endCall(Ledger, 5);
  CHECK(fateOf(Ledger, 5) == CallFate::Unknown);
  endCall(Ledger, 3);
  keepAnswer(Ledger, 3, "whole", Now);
  CHECK(fateOf(Ledger, 3) == CallFate::Answered);
  REQUIRE(heldAnswer(Ledger, 3));
  CHECK(*heldAnswer(Ledger, 3) == "whole");

  SECTION("an old answer is forgotten, but not that the call was received") {
    forgetAnswers(Ledger, Now + std::chrono::seconds(2));
    CHECK(fateOf(Ledger, 3) == CallFate::Unknown);
    CHECK(Ledger.AnswerBytes == 0);
  }
  SECTION("many large answers hold bounded memory") {
    // Guards against uploads and photos that fill the node's memory.
    for (std::uint64_t Id = 10; Id < 30; ++Id)
      keepAnswer(Ledger, Id, std::string(1'000'000, 'x'), Now);
    CHECK(Ledger.AnswerBytes <= std::size_t{4} * 1024 * 1024);
    CHECK(fateOf(Ledger, 29) == CallFate::Answered);
  }
}
