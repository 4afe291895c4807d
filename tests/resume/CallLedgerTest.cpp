#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include "../Choices.h"
#include "core/resume/CallLedger.h"

using namespace pollenwick;

namespace {

/// A sender and a receiver whose connection loses what is on its way, in both
/// directions, whenever it breaks. The sender asks on the next connection what
/// became of its calls; those that it hears of as never received are sent anew.
class LossyLink {
public:
  void send(std::uint64_t Call) {
    Waiting.emplace(++LastId, Waited{Call, Connection});
    OnWay.push_back({LastId, Call, {}});
  }
  /// The next frame reaches the receiver.
  void deliver(Instant Now) {
    if (OnWay.empty())
      return;
    const Frame Item = OnWay.front();
    OnWay.erase(OnWay.begin());
    if (Item.Asked.empty()) {
      recordCall(Ledgers[Connection], Item.Id, {Item.Call, false});
      ++Runs[Item.Call];
      return;
    }
    takeUp(Item.Asked, Now);
  }
  void finishOne(Instant Now) {
    for (auto &[Number, Ledger] : Ledgers) {
      if (Ledger.RunningCalls.empty())
        continue;
      const auto [Id, Call] = *Ledger.RunningCalls.begin();
      removeCall(Ledger, Id);
      keepAnswer(Ledger, Id, std::to_string(Call.LocalNumber), Now);
      if (Number == Connection)
        FatesOnWay.push_back({Id, CallStatus::Answered});
      return;
    }
  }
  /// The next answer or fate reaches the sender.
  void hear() {
    if (FatesOnWay.empty())
      return;
    const Told Item = FatesOnWay.front();
    FatesOnWay.erase(FatesOnWay.begin());
    const auto Found = Waiting.find(Item.Id);
    if (Found == Waiting.end() || Item.Status == CallStatus::Running)
      return;
    const std::uint64_t Call = Found->second.Call;
    Waiting.erase(Found);
    if (Item.Status != CallStatus::NeverReceived)
      return;
    RC_ASSERT(Runs[Call] == 0);
    send(Call);
  }
  void breakAndAsk() {
    OnWay.clear();
    FatesOnWay.clear();
    Lost.push_back(Connection++);
    Ledgers.try_emplace(Connection); // From the greeting on.
    if (Waiting.empty())
      return;
    Frame Question;
    for (const auto &[Id, Item] : Waiting)
      Question.Asked.push_back({Id, Item.SentOn});
    OnWay.push_back(std::move(Question));
  }

  std::map<std::uint64_t, int> Runs;

private:
  struct Waited {
    std::uint64_t Call = 0;
    std::uint64_t SentOn = 0;
  };
  struct Frame {
    std::uint64_t Id = 0;
    std::uint64_t Call = 0;
    std::vector<ResumedCall> Asked; ///< Empty: a call.
  };
  struct Told {
    std::uint64_t Id = 0;
    CallStatus Status = CallStatus::Unknown;
  };

  void takeUp(const std::vector<ResumedCall> &Asked, Instant Now) {
    LostLedgers Taken;
    for (const std::uint64_t Number : Lost)
      if (auto Node = Ledgers.extract(Number))
        Taken.insert(std::move(Node));
    const std::vector<CallStatus> Statuses =
        resumeCalls(Taken, Ledgers[Connection], Asked, Now);
    for (std::size_t I = 0; I < Asked.size(); ++I) {
      const std::string *Answer = findAnswer(Ledgers[Connection], Asked[I].Id);
      RC_ASSERT((Statuses[I] == CallStatus::Answered) == (Answer != nullptr));
      FatesOnWay.push_back({Asked[I].Id, Statuses[I]});
    }
  }

  std::uint64_t LastId = 0;
  std::uint64_t Connection = 1;
  std::map<std::uint64_t, Waited> Waiting; ///< By id.
  std::vector<std::uint64_t> Lost;         ///< Connections.
  std::vector<Frame> OnWay;
  std::vector<Told> FatesOnWay;
  LostLedgers Ledgers; ///< Of the receiver, by connection.
};

} // namespace

TEST_CASE("A call that is sent again has not run before", "[resume]") {
  // Guards against a payment that runs twice because its connection broke, and
  // against "not run" for a call that was received.
  // Questions and their answers are lost with a connection too: asked again
  // after two losses in a row, a call must not count as one that never came
  // (bangkal-mesh, network-variants).
  CHECK(rc::check([] {
    Choices Draw = drawChoices(300);
    LossyLink Link;
    Instant Now(std::chrono::seconds(1));
    std::uint64_t Calls = 0;
    while (!Draw.done()) {
      Now += std::chrono::milliseconds(Draw.pick(200));
      switch (Draw.pick(7)) {
      case 0:
        Link.send(++Calls);
        break;
      case 1:
      case 2:
      case 3:
        Link.deliver(Now);
        break;
      case 4:
        Link.finishOne(Now);
        break;
      case 5:
        Link.hear();
        break;
      default:
        if (Draw.chance(50))
          Link.breakAndAsk();
      }
    }
    for (const auto &[Call, Runs] : Link.Runs)
      RC_ASSERT(Runs <= 1);
  }));
}

TEST_CASE("What became of a call is known for a moment", "[resume]") {
  CallLedger Ledger;
  Instant Now(std::chrono::seconds(1));
  recordCall(Ledger, 3, {70, false});
  recordCall(Ledger, 5, {71, true});
  CHECK(callStatus(Ledger, 3) == CallStatus::Running);
  CHECK(callStatus(Ledger, 6) == CallStatus::NeverReceived);
  // Ids of other connections lie between: nothing is known of them here.
  CHECK(callStatus(Ledger, 4) == CallStatus::Unknown);
  CHECK(shouldKeepAnswer(Ledger, 3));
  CHECK_FALSE(shouldKeepAnswer(Ledger, 5));
  removeCall(Ledger, 5);
  CHECK(callStatus(Ledger, 5) == CallStatus::Unknown);
  removeCall(Ledger, 3);
  keepAnswer(Ledger, 3, "whole", Now);
  CHECK(callStatus(Ledger, 3) == CallStatus::Answered);
  REQUIRE(findAnswer(Ledger, 3));
  CHECK(*findAnswer(Ledger, 3) == "whole");

  SECTION("an old answer is forgotten, but not that the call was received") {
    expireAnswers(Ledger, Now + std::chrono::seconds(2));
    CHECK(callStatus(Ledger, 3) == CallStatus::Unknown);
    CHECK(Ledger.AnswerBytes == 0);
  }
  SECTION("many large answers hold bounded memory") {
    // Guards against uploads and photos that fill the node's memory.
    for (std::uint64_t Id = 10; Id < 30; ++Id)
      keepAnswer(Ledger, Id, std::string(1'000'000, 'x'), Now);
    CHECK(Ledger.AnswerBytes <= std::size_t{4} * 1024 * 1024);
    CHECK(callStatus(Ledger, 29) == CallStatus::Answered);
  }
}
