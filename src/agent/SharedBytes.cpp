#include "agent/SharedBytes.h"

#include <utility>

namespace pollenwick::agent {
namespace {

constexpr std::size_t WordBytes = 8;

std::size_t paddedSize(std::size_t Size) {
  return (Size + WordBytes - 1) / WordBytes * WordBytes;
}

} // namespace

SharedBytes::SharedBytes(std::string Text, MemoryCharge Charge) {
  if (Text.empty())
    return;
  const std::size_t Size = Text.size();
  Padded = Size >= LargeBytes;
  // A message to a peer refers to a large body in place, as whole words.
  if (Padded)
    Text.resize(paddedSize(Size));
  Owner = std::make_shared<const Holder>(
      Holder{std::move(Text), std::move(Charge)});
  View = std::string_view(Owner->Text).substr(0, Size);
}

SharedBytes SharedBytes::part(std::string_view Part) const {
  SharedBytes Result;
  Result.Owner = Owner;
  Result.View = Part;
  return Result;
}

std::string_view SharedBytes::paddedView() const {
  return Padded ? std::string_view(Owner->Text) : View;
}

} // namespace pollenwick::agent
