// A router's part in the schemas of payloads, before a register that is a value.
#include "router/schema_office.h"

#include <deque>

#include "doctest/doctest.h"

namespace peatbend::net::test {
namespace {

using compat::RegistryState;
using compat::UpdateResult;

const char kOne[] = R"({"type":"record","name":"R","fields":[{"name":"a","type":"int"}]})";
const char kTwo[] =
    R"({"type":"record","name":"R","fields":[{"name":"a","type":"int"},{"name":"b","type":"int","default":0}]})";
const char kWithout[] = R"({"type":"record","name":"R","fields":[{"name":"b","type":"int","default":0}]})";

class Register : public compat::RegistryClient {
 public:
  const RegistryState& known() const override { return known_; }
  std::uint64_t revision() const override { return news_; }
  void Submit(std::string, compat::RegistryUpdate::Command command,
              std::function<void(const UpdateResult&)> then) override {
    if (busy) return then({{{"", "", "busy", "", 0, {}}}});
    waiting_.emplace_back(std::move(command), std::move(then));
  }
  // Answers the first that waits; whether there was one.
  bool Next() {
    if (waiting_.empty()) return false;
    auto [command, then] = std::move(waiting_.front());
    waiting_.pop_front();
    UpdateResult answer = command(known_);
    ++news_;
    then(answer);
    return true;
  }
  bool busy = false;

 private:
  RegistryState known_;
  std::uint64_t news_ = 0;
  std::deque<std::pair<compat::RegistryUpdate::Command, std::function<void(const UpdateResult&)>>> waiting_;
};

struct Fixture {
  EventBasePtr base = NewEventBase();
  Clock clock;
  Log log{"t", Tuning{}.log, clock};
  Settings settings;
  Register published;
  compat::SubjectConfig of;
  std::optional<SchemaOffice> office;

  Fixture() {
    settings.classes.resize(2);
    settings.tenants.resize(1);
    settings.tenants[0].name = "north";
    settings.max_retry_after = std::chrono::seconds(5);
    of.subject = "audience";
    of.classes = {1};
    of.version_fact = "v", of.reader_fact = "by", of.reader_version_fact = "with";
    of.folder = "set";
    of.schemas = {kOne, kTwo};
    office.emplace(base.get(), settings, std::vector{of}, published, log);
  }
  void Settle() {
    do event_base_loop(base.get(), EVLOOP_NONBLOCK);
    while (published.Next());
  }
  RequestEvent Ask(bool write, std::string facts, int cls = 1) {
    Request request;
    request.write = write;
    request.cls = cls;
    request.tenant = 0;
    request.text = std::move(facts);
    request.facts = request.text;
    RequestEvent event;
    office->Check(request, event);
    return event;
  }
  QuotaVerdict Of(bool write, const std::string& facts, int cls = 1) {
    return Ask(write, facts, cls).quota_verdict;
  }
  std::uint64_t Figure(const std::string& name) {
    for (const auto& [each, value] : office->Figures())
      if (each == name) return value;
    FAIL("no figure " << name);
    return 0;
  }
};

TEST_CASE_FIXTURE(Fixture, "schemas: a write goes on with an accepted version, and what waits is told so") {
  CHECK(Ask(true, "c=set,v=1").retry_after == std::chrono::milliseconds(200));  // nothing is known yet
  CHECK(Of(true, "c=read", 0) == QuotaVerdict::kWithin);
  Settle();
  CHECK(Of(true, "c=set,v=1") == QuotaVerdict::kWithin);
  CHECK(Of(true, "c=set,v=2,t=north") == QuotaVerdict::kWithin);
  CHECK(Ask(true, "c=set,v=3").retry_after == std::chrono::seconds(1));
  CHECK(Ask(true, "c=set").retry_after == settings.max_retry_after);
  CHECK(Of(true, "c=set") == QuotaVerdict::kReject);
  CHECK(Figure("audience.accepted") == 2);
  CHECK(Figure("not_accepted") == 1);
  CHECK(Figure("no_version") == 2);
}

TEST_CASE_FIXTURE(Fixture, "schemas: a reader is counted first, and what would break it is refused by name") {
  Settle();
  CHECK(Of(false, "c=set") == QuotaVerdict::kWithin);
  CHECK(Of(false, "c=set,by=ann,with=1") == QuotaVerdict::kReject);
  Settle();
  CHECK(Of(false, "c=set,by=ann,with=1") == QuotaVerdict::kWithin);
  CHECK(Figure("audience.readers") == 1);
  of.schemas.push_back(kWithout);
  CHECK(office->Propose({of}));
  Settle();
  REQUIRE(office->Refused().size() == 1);
  CHECK(office->Refused()[0].first == "audience");
  CHECK(office->Refused()[0].second.find("audience $.a") == 0);
  CHECK(office->Refused()[0].second.find("read by ann") != std::string::npos);
  CHECK(office->Refused()[0].second.find("; ann: statement 1, heard now") != std::string::npos);
  CHECK(Of(true, "c=set,v=3") == QuotaVerdict::kReject);
  of.schemas.back() = kTwo;
  CHECK(office->Propose({of}));
  Settle();
  CHECK(office->Refused().empty());
  CHECK(Of(true, "c=set,v=3") == QuotaVerdict::kWithin);
  of.classes = {0, 1};
  CHECK_FALSE(office->Propose({of}));  // holds from the next start
}

TEST_CASE_FIXTURE(Fixture, "schemas: a register that is busy, or out of reach, is no refusal") {
  Settle();
  published.busy = true;
  CHECK(office->Propose({of}));
  CHECK(office->Refused().empty());
  CHECK(Ask(false, "c=set,by=ann,with=1").retry_after == std::chrono::milliseconds(200));
  published.busy = false;
  office->Hush();
  CHECK(Ask(false, "c=set,by=ann,with=1").retry_after == std::chrono::milliseconds(200));
  CHECK(Of(true, "c=set,v=2") == QuotaVerdict::kWithin);  // what is known stays
  CHECK(Figure("readers_refused") == 0);
}

}  // namespace
}  // namespace peatbend::net::test
