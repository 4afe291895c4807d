#ifndef POLLENWICK_TOOLS_CALLER_H
#define POLLENWICK_TOOLS_CALLER_H

#include <random>
#include <string>
#include <vector>

#include "Exchange.h"
#include "JobQueue.h"
#include "Report.h"

namespace pollenwick::tools {

struct CallerSettings {
  std::vector<Target> Targets;
  std::string IdPrefix;
  std::chrono::milliseconds Timeout{0};
  /// Share of tickets that are presented to another target than their issuer.
  double TicketElsewhere = 0;
};

/// Sends jobs by the caller protocol, one at a time. One per thread.
class Caller {
public:
  Caller(const CallerSettings &Settings, std::size_t Index, JobQueue &Jobs,
         Report &Results);

  void run();

private:
  void attempt(Job Now);
  Answer sendWithTicket(Job &Now, const std::string &Id);
  /// Repeats on the next target while connections are refused.
  Answer deliver(Job &Now, const Message &Out);
  Ending judge(Job &Now, const Answer &Got);
  std::size_t currentTarget();
  void moveOn();

  const CallerSettings &Settings;
  JobQueue &Jobs;
  Report &Results;
  Exchange Wire;
  std::mt19937_64 Random;
  const std::size_t Home;
  std::size_t Current;
  Clock::time_point LeftHome;
};

} // namespace pollenwick::tools

#endif
