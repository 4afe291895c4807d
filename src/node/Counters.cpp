#include "node/Counters.h"

#include <algorithm>
#include <limits>
#include <sstream>
#include <string_view>

#include <Poco/JSON/Array.h>
#include <boost/histogram.hpp>

namespace pollenwick {
namespace {

namespace bh = boost::histogram;

/// Metric name without prefix and suffix, and its help text.
struct Description {
  std::string_view Name;
  std::string_view Help;
};

constexpr std::array<Description, static_cast<std::size_t>(Counter::Count)>
    Descriptions{{
        {"root_requests", "Requests received on the caller port."},
        {"root_answered", "Root requests answered with outcome done."},
        {"sub_calls", "Calls received on the egress port."},
        {"calls_for_peers", "Calls received from other nodes."},
        {"local_runs", "Calls sent to the local backend server."},
        {"retries", "Further attempts of calls."},
        {"tickets_minted", "Tickets issued with status 428."},
        {"ticket_replays", "Answers replayed for used tickets."},
        {"claims_forwarded", "Ticketed calls forwarded to their issuer."},
        {"quota_borrows", "Borrow requests to quota holders."},
        {"quota_cached_spends", "Admissions paid from leases held."},
        {"quota_prefetches", "Borrow requests ahead of need."},
        {"quota_recalls", "Leases recalled from this node."},
        {"backend_crashes", "Crashes of the local backend server."},
        {"suspects_refused", "Calls refused as quarantined."},
        {"bundles_accepted", "Bundles that came into force."},
        {"bundles_rejected", "Pointers or chunks that were refused."},
        {"config_reads", "Calls to the configuration service."},
        {"config_read_errors", "Failed calls to that service."},
        {"config_bytes_read", "Bytes of values read from that service."},
        {"heartbeats_sent", "Datagrams sent to other nodes."},
        {"heartbeats_received", "Datagrams accepted from other nodes."},
        {"heartbeats_rejected", "Datagrams that could not be read."},
        {"heartbeat_bytes_sent", "Bytes of the datagrams sent."},
        {"heartbeat_bytes_received", "Bytes of the datagrams accepted."},
        {"host_list_errors", "Failed reads of the host list."},
        {"peer_requests", "Exchanges started with other nodes."},
    }};

constexpr std::array<Description, static_cast<std::size_t>(Latency::Count)>
    LatencyDescriptions{{
        {"root_request_us", "Whole root requests, microseconds."},
        {"backend_run_us", "Exchanges with the local backend server."},
        {"added_us", "Answered root requests less the time at the server."},
    }};

constexpr std::size_t MaxRecentRefusals = 64;
/// Range of the histograms, in microseconds.
constexpr double LowestUs = 1;
constexpr double HighestUs = 60e6;
constexpr int Bins = 96;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = decltype(bh::make_histogram_with(
    Storage(), Axis(Bins, LowestUs, HighestUs)));

/// Returns the count of a bin; -1 is the underflow bin, `Bins` the overflow
/// bin.
std::uint64_t count(const Histogram &H, int Bin) {
  return static_cast<std::uint64_t>(H.at(Bin));
}

void writeHistogram(std::ostream &Out, const Description &What,
                    const Histogram &H) {
  Out << "# HELP pollenwick_" << What.Name << ' ' << What.Help << '\n'
      << "# TYPE pollenwick_" << What.Name << " histogram\n";
  std::uint64_t Total = count(H, -1);
  for (int Bin = 0; Bin < Bins; ++Bin) {
    Total += count(H, Bin);
    Out << "pollenwick_" << What.Name << "_bucket{le=\""
        << H.axis().bin(Bin).upper() << "\"} " << Total << '\n';
  }
  Total += count(H, Bins);
  Out << "pollenwick_" << What.Name << "_bucket{le=\"+Inf\"} " << Total << '\n'
      << "pollenwick_" << What.Name << "_count " << Total << '\n';
}

/// Returns the upper bound, in microseconds, of the bin that contains the
/// quantile `Fraction` (0 to 1), or 0 if the histogram is empty.
double quantile(const Histogram &H, double Fraction) {
  std::uint64_t Total = 0;
  for (int Bin = -1; Bin <= Bins; ++Bin)
    Total += count(H, Bin);
  const double TargetCount = Fraction * static_cast<double>(Total);
  std::uint64_t CumulativeCount = count(H, -1);
  for (int Bin = 0; Bin < Bins; ++Bin) {
    CumulativeCount += count(H, Bin);
    if (static_cast<double>(CumulativeCount) >= TargetCount &&
        CumulativeCount > 0)
      return H.axis().bin(Bin).upper();
  }
  return Total ? HighestUs : 0;
}

} // namespace

struct Counters::Histograms {
  std::array<Histogram, static_cast<std::size_t>(Latency::Count)> All{
      bh::make_histogram_with(Storage(), Axis(Bins, LowestUs, HighestUs)),
      bh::make_histogram_with(Storage(), Axis(Bins, LowestUs, HighestUs)),
      bh::make_histogram_with(Storage(), Axis(Bins, LowestUs, HighestUs))};
};

Counters::Counters() : LatencyHistograms(std::make_unique<Histograms>()) {}
Counters::~Counters() = default;

void Counters::recordLatency(Latency Id, Duration Took) {
  LatencyHistograms->All[static_cast<std::size_t>(Id)](
      static_cast<double>(Took.count()));
}

void Counters::recordRefusal(RefusalRecord Record) {
  std::scoped_lock Lock(Mutex);
  ++RefusalsByReason.at(static_cast<std::size_t>(Record.Reason));
  // Every non-idempotent call starts with this refusal. Records of it would
  // push those that an operator looks for out of the list.
  if (Record.Reason == RefusalReason::TicketNeeded)
    return;
  RecentRefusals.push_front(std::move(Record));
  if (RecentRefusals.size() > MaxRecentRefusals)
    RecentRefusals.pop_back();
}

std::string Counters::exposition() const {
  std::ostringstream Out;
  for (std::size_t I = 0; I < Descriptions.size(); ++I)
    Out << "# HELP pollenwick_" << Descriptions[I].Name << "_total "
        << Descriptions[I].Help << '\n'
        << "# TYPE pollenwick_" << Descriptions[I].Name << "_total counter\n"
        << "pollenwick_" << Descriptions[I].Name << "_total "
        << CounterValues[I].load(std::memory_order_relaxed) << '\n';
  Out << "# HELP pollenwick_refusals_total Refusals by reason.\n"
      << "# TYPE pollenwick_refusals_total counter\n";
  {
    std::scoped_lock Lock(Mutex);
    for (std::size_t I = 0; I < RefusalsByReason.size(); ++I)
      if (RefusalsByReason[I] > 0)
        Out << "pollenwick_refusals_total{reason=\""
            << reasonText(static_cast<RefusalReason>(I)) << "\"} "
            << RefusalsByReason[I] << '\n';
  }
  for (std::size_t I = 0; I < LatencyDescriptions.size(); ++I)
    writeHistogram(Out, LatencyDescriptions[I], LatencyHistograms->All[I]);
  return Out.str();
}

void Counters::dump(Poco::JSON::Object &Out) const {
  Poco::JSON::Object::Ptr Totals = new Poco::JSON::Object;
  for (std::size_t I = 0; I < Descriptions.size(); ++I)
    Totals->set(std::string(Descriptions[I].Name),
                CounterValues[I].load(std::memory_order_relaxed));
  Out.set("totals", Totals);
  Poco::JSON::Object::Ptr Latencies = new Poco::JSON::Object;
  for (std::size_t I = 0; I < LatencyDescriptions.size(); ++I) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("p50", quantile(LatencyHistograms->All[I], 0.5));
    One->set("p99", quantile(LatencyHistograms->All[I], 0.99));
    Latencies->set(std::string(LatencyDescriptions[I].Name), One);
  }
  Out.set("latencies", Latencies);
  std::scoped_lock Lock(Mutex);
  Poco::JSON::Object::Ptr Reasons = new Poco::JSON::Object;
  for (std::size_t I = 0; I < RefusalsByReason.size(); ++I)
    if (RefusalsByReason[I] > 0)
      Reasons->set(std::string(reasonText(static_cast<RefusalReason>(I))),
                   RefusalsByReason[I]);
  Out.set("refusals", Reasons);
  Poco::JSON::Array::Ptr Recent = new Poco::JSON::Array;
  for (const RefusalRecord &Record : RecentRefusals) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("when", Record.UtcTime);
    One->set("reason", std::string(reasonText(Record.Reason)));
    One->set("outcome", std::string(outcomeText(Record.Result)));
    One->set("tenant", Record.Customer.Text);
    One->set("route", Record.Route.Text);
    One->set("message", Record.Message);
    Recent->add(One);
  }
  Out.set("last_refusals", Recent);
}

} // namespace pollenwick
