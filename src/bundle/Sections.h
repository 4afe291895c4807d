#ifndef POLLENWICK_BUNDLE_SECTIONS_H
#define POLLENWICK_BUNDLE_SECTIONS_H

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "bundle/Json.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Reads the sections that the document contains and appends them to `Out`. The
/// source form of a bundle contains all sections, a chunk only some of them.
void readSections(JsonObjectReader &Reader, Bundle &Out);

Poco::JSON::Object::Ptr newObject();
Poco::JSON::Array::Ptr writeServices(const std::vector<ServiceSpec> &List);
Poco::JSON::Array::Ptr writeHosts(const std::vector<HostSpec> &List);
Poco::JSON::Array::Ptr writeCustomers(const std::vector<CustomerSpec> &List);
Poco::JSON::Array::Ptr writeKeys(const std::vector<KeySpec> &List);
Poco::JSON::Array::Ptr writeClasses(const std::vector<ClassSpec> &List);
Poco::JSON::Array::Ptr writeRoutes(const std::vector<RouteSpec> &List);
Poco::JSON::Object::Ptr writePolicy(const Policy &Rules);

} // namespace pollenwick

#endif
