#ifndef POLLENWICK_NODE_COMPONENTREGISTRY_H
#define POLLENWICK_NODE_COMPONENTREGISTRY_H

#include <any>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/JSON/Object.h>

namespace pollenwick {

/// A component of the node that runs its own threads.
class Component {
public:
  virtual ~Component() = default;
  /// Returns the key of the component in the state dump.
  virtual std::string_view name() const = 0;
  virtual void start() = 0;
  /// Ends the threads of the component. Called once; components are stopped in
  /// the reverse of their start order.
  virtual void stop() = 0;
  /// Adds the state of the component to the state dump of the process.
  /// Thread-safe.
  virtual void dump(Poco::JSON::Object &Out) const = 0;
};

/// Registry in which the components of the node find each other by name. It is
/// filled before any component starts and constant afterwards, so that look-ups
/// need no lock. It does not own the registered objects.
class ComponentRegistry {
public:
  /// Throws std::logic_error when the name is already registered.
  template <typename T> void add(std::string Name, T &Service) {
    if (!Services.emplace(std::move(Name), &Service).second)
      throw std::logic_error("service registered twice");
  }

  /// Returns the service registered as `Name`. Throws std::logic_error when the
  /// name is unknown or its service is not a `T`.
  template <typename T> T &find(std::string_view Name) const {
    auto It = Services.find(Name);
    if (It == Services.end())
      throw std::logic_error("unknown service " + std::string(Name));
    T *const *Found = std::any_cast<T *>(&It->second);
    if (!Found)
      throw std::logic_error("service " + std::string(Name) +
                             " has another type");
    return **Found;
  }

  /// Appends a component; components are started in this order.
  void addComponent(Component &Part) { Components.push_back(&Part); }
  const std::vector<Component *> &components() const { return Components; }

private:
  std::map<std::string, std::any, std::less<>> Services;
  std::vector<Component *> Components;
};

} // namespace pollenwick

#endif
