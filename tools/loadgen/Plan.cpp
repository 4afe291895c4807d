#include "Plan.h"

#include <Poco/Exception.h>

#include "../common/Json.h"

namespace pollenwick::tools {
namespace {

constexpr double MicrosPerSecond = 1e6;

JsonArray::Ptr needArray(const JsonObject::Ptr &From, const std::string &Name) {
  JsonArray::Ptr Found = From->getArray(Name);
  if (!Found || Found->empty())
    throw Poco::DataFormatException("plan: array `" + Name +
                                    "` is missing or empty");
  return Found;
}

RequestSpec readRequest(const JsonObject::Ptr &Row) {
  RequestSpec Spec;
  Spec.Route = Row->getValue<std::string>("route");
  Spec.Class = Row->optValue<std::string>("class", Spec.Route);
  Spec.Weight = Row->optValue("weight", Spec.Weight);
  Spec.BodyBytes = Row->optValue("body_bytes", Spec.BodyBytes);
  Spec.ReplyBytes = Row->optValue("reply_bytes", Spec.ReplyBytes);
  Spec.BodyText = Row->optValue<std::string>("body_text", "");
  Spec.NonIdempotent = Row->optValue("non_idempotent", false);
  Spec.DeadlineMs = Row->optValue("deadline_ms", 0);
  return Spec;
}

CustomerLoad readCustomer(const JsonObject::Ptr &Row) {
  CustomerLoad Load;
  Load.Customer = Row->getValue<std::string>("tenant");
  Load.Key = Row->optValue<std::string>("key", "");
  Load.Rate = Row->getValue<double>("rate");
  if (const JsonObject::Ptr Limit = Row->getObject("limit")) {
    Load.LimitRate = Limit->getValue<double>("rate");
    Load.LimitBurst = Limit->getValue<double>("burst");
  }
  if (const JsonObject::Ptr Retries = Row->getObject("retries")) {
    Load.Retries = Retries->getValue<int>("count");
    Load.RetryDelay =
        std::chrono::milliseconds(Retries->optValue("delay_ms", 0));
  }
  const JsonArray::Ptr Mix = needArray(Row, "mix");
  for (std::size_t At = 0; At < Mix->size(); ++At)
    Load.Mix.push_back(readRequest(Mix->getObject(At)));
  return Load;
}

} // namespace

Plan readPlan(const std::string &Path) {
  Plan Result;
  const JsonArray::Ptr Phases = needArray(readObjectFile(Path), "phases");
  for (std::size_t At = 0; At < Phases->size(); ++At) {
    const JsonObject::Ptr Row = Phases->getObject(At);
    Phase Next;
    Next.Name = Row->optValue<std::string>("name", std::to_string(At));
    Next.Length = std::chrono::microseconds(static_cast<std::int64_t>(
        Row->getValue<double>("seconds") * MicrosPerSecond));
    const JsonArray::Ptr Customers = needArray(Row, "tenants");
    for (std::size_t T = 0; T < Customers->size(); ++T)
      Next.Customers.push_back(readCustomer(Customers->getObject(T)));
    Result.push_back(std::move(Next));
  }
  return Result;
}

} // namespace pollenwick::tools
