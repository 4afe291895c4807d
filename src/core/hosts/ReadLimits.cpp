#include "core/hosts/ReadLimits.h"

namespace pollenwick {

ReadLimits readLimitsFor(Duration ApplyTime) {
  // Half of the time for a watch and three tenths for its missing answer leave
  // a fifth to read the list and to pass it on. An unanswered watch is noticed
  // and replaced before the age reaches its limit.
  return {ApplyTime / 2, ApplyTime * 3 / 10, ApplyTime * 3 / 2};
}

} // namespace pollenwick
