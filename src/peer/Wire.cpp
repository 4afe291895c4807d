#include "peer/Wire.h"

#include <algorithm>

namespace pollenwick {
namespace {

std::string dataToString(capnp::Data::Reader In) {
  return {reinterpret_cast<const char *>(In.begin()), In.size()};
}

capnp::Data::Reader toStringDataReader(const std::string &In) {
  return {reinterpret_cast<const kj::byte *>(In.data()), In.size()};
}

void writeHeaders(capnp::List<wire::Header>::Builder Out,
                  const std::vector<HeaderField> &Headers) {
  for (std::uint32_t I = 0; I < Out.size(); ++I) {
    Out[I].setName(Headers[I].Name);
    Out[I].setValue(Headers[I].Value);
  }
}

std::vector<HeaderField> readHeaders(capnp::List<wire::Header>::Reader In) {
  std::vector<HeaderField> Out;
  Out.reserve(In.size());
  for (auto Header : In)
    Out.push_back(
        {toStdString(Header.getName()), toStdString(Header.getValue())});
  return Out;
}

wire::Outcome toWire(Outcome Value) {
  switch (Value) {
  case Outcome::Done:
    return wire::Outcome::DONE;
  case Outcome::NotRun:
    return wire::Outcome::NOT_RUN;
  case Outcome::Unknown:
    return wire::Outcome::UNKNOWN;
  }
  return wire::Outcome::UNKNOWN;
}

Outcome fromWire(wire::Outcome Value) {
  switch (Value) {
  case wire::Outcome::DONE:
    return Outcome::Done;
  case wire::Outcome::NOT_RUN:
    return Outcome::NotRun;
  case wire::Outcome::UNKNOWN:
    return Outcome::Unknown;
  }
  return Outcome::Unknown; // A value that a newer version added.
}

LoadReport readLoad(wire::LoadReport::Reader In) {
  LoadReport Out;
  Out.Known = In.getKnown();
  Out.Draining = In.getDraining();
  Out.InFlight = In.getInFlight();
  Out.QueueDelay = Duration(In.getQueueDelayMicros());
  for (auto Report : In.getThresholds())
    Out.Thresholds.push_back(
        {ServiceId(toStdString(Report.getService())), Report.getCustomerLevel(),
         Report.getCommonLevel(), Duration(Report.getAgeMicros())});
  return Out;
}

void writeLoad(wire::LoadReport::Builder Out, const LoadReport &Load) {
  Out.setKnown(Load.Known);
  Out.setDraining(Load.Draining);
  Out.setInFlight(Load.InFlight);
  Out.setQueueDelayMicros(Load.QueueDelay.count());
  auto List = Out.initThresholds(static_cast<unsigned>(Load.Thresholds.size()));
  for (unsigned I = 0; I < List.size(); ++I) {
    const ServiceThreshold &Threshold = Load.Thresholds[I];
    List[I].setService(Threshold.Service.Text);
    List[I].setCustomerLevel(Threshold.CustomerLevel);
    List[I].setCommonLevel(Threshold.CommonLevel);
    List[I].setAgeMicros(Threshold.Age.count());
  }
}

constexpr auto LastRefusalReason = RefusalReason::Cancelled;

} // namespace

std::string toStdString(capnp::Text::Reader In) {
  return {In.cStr(), In.size()};
}

Digest readDigest(capnp::Data::Reader In) {
  Digest Out{};
  if (In.size() == Out.size())
    std::ranges::copy(In, Out.begin());
  return Out;
}

void writeIncarnation(wire::Incarnation::Builder Out, const IncarnationId &Id) {
  Out.setHost(Id.Host.Text);
  Out.setStart(Id.Start.Value);
}

IncarnationId readIncarnation(wire::Incarnation::Reader In) {
  return {HostId(toStdString(In.getHost())), StartId(In.getStart())};
}

void writeCall(wire::Call::Builder Out, const CallRequest &Call, Instant Now) {
  writeIncarnation(Out.initCaller(), Call.Caller);
  Out.setId(Call.Id.Value);
  Out.setRoute(Call.Route.Text);
  Out.setPathAndQuery(Call.PathAndQuery);
  Out.setMethod(Call.Method);
  Out.setCustomer(Call.Customer.Text);
  Out.setClass(Call.Class.Text);
  Out.setRootId(Call.Root.Value);
  Out.setRequestHash(Call.Hash);
  Out.setRemainingMicros((Call.Deadline - Now).count());
  Out.setAgeMicros((Now - Call.AdmittedAt).count());
  Out.setAllowance(Call.Allowance);
  Out.setBodyDigest(toDataReader(Call.BodyDigest));
  if (Call.HasKey)
    Out.setKey(toDataReader(Call.Key.Bytes));
  Out.setRevision(Call.DecisionRevision.Value);
  Out.setSubCall(Call.SubCall);
  writeHeaders(Out.initHeaders(static_cast<unsigned>(Call.Headers.size())),
               Call.Headers);
  Out.setBody(toStringDataReader(Call.Body));
}

CallRequest readCall(wire::Call::Reader In, Instant Now) {
  CallRequest Call;
  Call.Caller = readIncarnation(In.getCaller());
  Call.Id = CallId(In.getId());
  Call.Route = RouteId(toStdString(In.getRoute()));
  Call.PathAndQuery = toStdString(In.getPathAndQuery());
  Call.Method = toStdString(In.getMethod());
  Call.Customer = CustomerId(toStdString(In.getCustomer()));
  Call.Class = ClassId(toStdString(In.getClass()));
  Call.Root = RootId(In.getRootId());
  Call.Hash = In.getRequestHash();
  Call.Deadline = Now + Duration(In.getRemainingMicros());
  Call.AdmittedAt = Now - Duration(In.getAgeMicros());
  Call.Allowance = In.getAllowance();
  Call.BodyDigest = readDigest(In.getBodyDigest());
  Call.HasKey = In.getKey().size() == Call.Key.Bytes.size();
  Call.Key.Bytes = readDigest(In.getKey());
  Call.DecisionRevision = Revision(In.getRevision());
  Call.SubCall = In.getSubCall();
  Call.Headers = readHeaders(In.getHeaders());
  Call.Body = dataToString(In.getBody());
  return Call;
}

void writeReply(wire::Reply::Builder Out, const CallReply &Reply, CallId Id) {
  Out.setId(Id.Value);
  Out.setOutcome(toWire(Reply.Result));
  Out.setReason(static_cast<std::uint8_t>(Reply.Reason));
  Out.setMessage(Reply.Message);
  Out.setStatus(Reply.Status);
  Out.setUnusedAllowance(Reply.UnusedAllowance);
  Out.setRetryAfterMicros(Reply.RetryAfter.count());
  Out.setSuspect(Reply.Suspect);
  Out.setServerMicros(Reply.BackendDuration.count());
  Out.setTryHost(Reply.RequiredHost.Text);
  writeLoad(Out.initLoad(), Reply.Load);
  writeHeaders(Out.initHeaders(static_cast<unsigned>(Reply.Headers.size())),
               Reply.Headers);
  Out.setBody(toStringDataReader(Reply.Body));
}

CallReply readReply(wire::Reply::Reader In, CallId &Id) {
  Id = CallId(In.getId());
  CallReply Reply;
  Reply.Result = fromWire(In.getOutcome());
  const std::uint8_t Reason = In.getReason();
  Reply.Reason = Reason <= static_cast<std::uint8_t>(LastRefusalReason)
                     ? static_cast<RefusalReason>(Reason)
                     : RefusalReason::PeerLost;
  Reply.Message = toStdString(In.getMessage());
  Reply.Status = In.getStatus();
  Reply.UnusedAllowance = In.getUnusedAllowance();
  Reply.RetryAfter = Duration(In.getRetryAfterMicros());
  Reply.Suspect = In.getSuspect();
  Reply.BackendDuration = Duration(In.getServerMicros());
  Reply.RequiredHost = HostId(toStdString(In.getTryHost()));
  Reply.Load = readLoad(In.getLoad());
  Reply.Headers = readHeaders(In.getHeaders());
  Reply.Body = dataToString(In.getBody());
  return Reply;
}

} // namespace pollenwick
