#ifndef POLLENWICK_AGENT_SHAREDBYTES_H
#define POLLENWICK_AGENT_SHAREDBYTES_H

#include <memory>
#include <ostream>
#include <string>
#include <string_view>

#include "core/memory/MemoryAccount.h"

namespace pollenwick::agent {

/// Immutable bytes that are shared instead of copied, for example the body of a
/// request that waits, is sent and may be sent again. They are counted in the
/// memory account until the last copy of this object is gone.
class SharedBytes {
public:
  SharedBytes() = default;
  SharedBytes(std::string Text) : SharedBytes(std::move(Text), {}) {}
  SharedBytes(const char *Text) : SharedBytes(std::string(Text)) {}
  SharedBytes(std::string Text, MemoryCharge Charge);

  /// Returns a part of these bytes that keeps all of them alive. `Part` must
  /// point into them.
  SharedBytes part(std::string_view Part) const;

  std::string_view view() const { return View; }
  /// Returns the bytes and the zero bytes that follow them up to a multiple of
  /// the size of a word. Only large ones that were built from a string have
  /// these; `isPadded` tells.
  std::string_view paddedView() const;
  bool isPadded() const { return Padded; }
  std::size_t size() const { return View.size(); }
  bool empty() const { return View.empty(); }
  bool isLarge() const { return View.size() >= LargeBytes; }

  friend bool operator==(const SharedBytes &A, const SharedBytes &B) {
    return A.View == B.View;
  }
  friend std::ostream &operator<<(std::ostream &Out, const SharedBytes &Bytes) {
    return Out << Bytes.View;
  }

private:
  struct Holder {
    std::string Text;
    MemoryCharge Charge;
  };
  std::shared_ptr<const Holder> Owner;
  std::string_view View;
  bool Padded = false;
};

} // namespace pollenwick::agent

#endif
