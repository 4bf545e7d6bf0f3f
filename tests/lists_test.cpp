#include "config.h"
#include "lists_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace catkin {
namespace {

namespace json = boost::json;

const std::string KeyA = hashKey("example-key-a");
const std::string KeyB = hashKey("example-key-b");

json::value validDocument() {
  auto text = R"({"revision":7,"edit_id":"e-7","plans":{"plans":[
    {"name":"a","keys":["KEYA"],"priority":"high","grant":{"models":2,"concurrency":8,
      "tokens_per_second":1500.25,"accelerator_bytes":48000000000}},
    {"name":"b","keys":["KEYB"],"priority":"low","grant":{"models":0,"concurrency":0,
      "tokens_per_second":0,"accelerator_bytes":0}}]},
   "uses":{"models":[{"name":"m","bytes":16000000000,"version":"1"},
      {"name":"m.x","base":"m","bytes":50000000}],
    "services":[{"name":"deliveries","idempotent":false},{"name":"stock","idempotent":true}],
    "uses":[{"plan":"a","models":["m.x","m"],"services":["deliveries"]}]}})";
  std::string s(text);
  s.replace(s.find("KEYA"), 4, KeyA);
  s.replace(s.find("KEYB"), 4, KeyB);
  return json::parse(s);
}

/// Returns the errors of a result as "path: message" lines; empty if the lists are valid.
std::vector<std::string> formatErrors(const std::variant<Lists, ListErrors> &result) {
  std::vector<std::string> lines;
  if (auto *errors = std::get_if<ListErrors>(&result))
    for (auto &it : *errors)
      lines.push_back(it.path + ": " + it.message);
  return lines;
}

/// Sorts entries and writes all numbers in one form: neither matters for the equality of lists.
json::value canonicalise(json::value v) {
  if (auto *o = v.if_object())
    for (auto &it : *o)
      it.value() = canonicalise(it.value());
  if (auto *a = v.if_array()) {
    for (auto &it : *a)
      it = canonicalise(it);
    if (!a->empty() && a->front().is_object())
      std::sort(a->begin(), a->end(), [](auto &l, auto &r) {
        auto id = [](auto &it) { return it.at(it.as_object().contains("name") ? "name" : "plan"); };
        return id(l).as_string() < id(r).as_string();
      });
  }
  if (v.is_double() || v.is_int64())
    v = std::to_string(v.to_number<double>());
  return v;
}

std::string readFile(const std::string &path) {
  std::ifstream in(std::string(CATKIN_SOURCE_DIR) + "/" + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// Guards against an accepted field that is lost or changed when the lists are stored.
TEST(Lists, RoundTripKeepsEveryField) {
  auto document = validDocument();
  auto lists = std::get<Lists>(parseLists(json::serialize(document)));
  EXPECT_EQ(canonicalise(json::parse(formatLists(lists))), canonicalise(document));
  EXPECT_EQ(lists.plans.at(PlanName("a")).grant, (Grant{2, 8, 1500.25, 48'000'000'000}));
  EXPECT_EQ(lists.planOfKey("example-key-b")->name.value, "b");
  EXPECT_EQ(lists.planOfKey(KeyB), nullptr);
  EXPECT_TRUE(lists.mayUse(PlanName("a"), ModelName("m.x")));
  EXPECT_FALSE(lists.mayUse(PlanName("a"), ServiceName("stock")));
  EXPECT_FALSE(lists.mayUse(PlanName("b"), ModelName("m")));
}

// Guards against accepting an invalid list, and against an error that names the wrong field.
TEST(Lists, EachFaultIsReportedWithItsPath) {
  struct Case {
    std::string pointer; ///< field to replace in the valid document
    std::string value;   ///< JSON text; empty removes the field
    std::string fault;   ///< expected "path: message"
  };
  auto tooLong = '"' + std::string(config::MaxNameLength + 1, 'n') + '"';
  std::vector<Case> cases{
      {"/plans/plans/0/colour", "1", "plans[0].colour: unknown field"},
      {"/plans/plans/0/keys", "3", "plans[0].keys: must be an array"},
      {"/plans/plans/0/name", "", "plans[0].name: field is missing"},
      {"/plans/plans/0/priority", "\"urgent\"", "plans[0].priority: must be "},
      {"/plans/plans/0/name", "\"a b\"", "plans[0].name: may only contain "},
      {"/plans/plans/0/name", "\"\"", "plans[0].name: must not be empty"},
      {"/plans/plans/0/name", tooLong, "plans[0].name: is longer than 128 bytes"},
      {"/plans/plans/1/name", "\"a\"",
       "plans[1].name: the same plan is already given at plans[0].name"},
      {"/plans/plans/1/keys/0", '"' + KeyA + '"',
       "plans[1].keys[0]: the same key is already given at plans[0].keys[0]"},
      {"/plans/plans/1/keys/0", "\"plain-key\"", "plans[1].keys[0]: must be \"sha256:\""},
      {"/plans/plans/0/grant/concurrency", "-1",
       "plans[0].grant.concurrency: must not be negative"},
      {"/plans/plans/0/grant/concurrency", "1.5", "plans[0].grant.concurrency: must be an integer"},
      {"/plans/plans/0/grant/concurrency", "4294967297",
       "plans[0].grant.concurrency: must be at most 1000000"},
      {"/plans/plans/0/grant/accelerator_bytes", "1e300",
       "plans[0].grant.accelerator_bytes: must be an integer of at most"},
      {"/plans/plans/0/grant/tokens_per_second", "1e300",
       "plans[0].grant.tokens_per_second: must be at most"},
      {"/plans/plans/0/grant/tokens_per_second", "0.0001",
       "plans[0].grant.tokens_per_second: may have at most three decimals"},
      {"/uses/models/0/bytes", "0", "models[0].bytes: must be at least 1"},
      {"/uses/models/1/base", "\"x\"", "models[1].base: no such model"},
      {"/uses/models/1/base", "\"m.x\"", "models[1].base: an adapter cannot be the base"},
      {"/uses/models/1/name", "\"m\"", "models[1].name: the same model is already given"},
      {"/uses/services/1/idempotent", "0", "services[1].idempotent: must be true or false"},
      {"/uses/services/1/name", "\"deliveries\"", "services[1].name: the same service"},
      {"/uses/uses/0/plan", "\"c\"", "uses[0].plan: no such plan"},
      {"/uses/uses/0/models/1", "\"z\"", "uses[0].models[1]: no such model"},
      {"/uses/uses/0/models/1", "\"m.x\"", "uses[0].models[1]: the same model is given twice"},
      {"/uses/uses/0/services/0", "\"z\"", "uses[0].services[0]: no such service"},
      {"/revision", "-1", "revision: must not be negative"},
  };
  for (auto &it : cases) {
    auto document = validDocument();
    json::error_code ec;
    if (it.value.empty())
      document.at("plans").at("plans").at(0).as_object().erase("name");
    else if (auto *field = document.find_pointer(it.pointer, ec))
      *field = json::parse(it.value);
    else
      document.at("plans").at("plans").at(0).as_object()["colour"] = 1;
    auto faults = formatErrors(parseLists(json::serialize(document)));
    EXPECT_TRUE(
        std::any_of(faults.begin(), faults.end(), [&](auto &f) { return f.starts_with(it.fault); }))
        << it.fault << "\ngot: " << (faults.empty() ? "accepted" : faults.front());
  }
}

// Guards against reporting only the first error, merging duplicate fields silently, and accepting
// documents of unbounded size or depth.
TEST(Lists, WholeDocumentFaults) {
  Lists base;
  auto replace = [&](const std::string &text) {
    return formatErrors(replaceList(base, ListKind::Plans, text, "e"));
  };
  auto faults = replace(R"({"plans":[{"name":"a","name":"b","keys":[]},7],"x":1})");
  EXPECT_EQ(faults, (std::vector<std::string>{
                        "plans[0].name: field is given twice", "x: unknown field",
                        "plans[0].priority: field is missing", "plans[0].grant: field is missing",
                        "plans[1]: must be an object"}));
  EXPECT_EQ(replace(std::string(config::MaxListBytes + 1, ' ')).size(), 1U);
  EXPECT_TRUE(replace(std::string(100, '[')).at(0).starts_with(": nested more than"));
  EXPECT_TRUE(replace(R"({"plans":[]} x)").at(0).starts_with(": not valid JSON at byte"));
  EXPECT_TRUE(replace("").at(0).starts_with(": not valid JSON at byte"));
}

// Guards against an edit of one list that invalidates references in the other.
TEST(Lists, EditedListIsCheckedAgainstTheOther) {
  auto base = std::get<Lists>(parseLists(json::serialize(validDocument())));
  EXPECT_EQ(formatErrors(replaceList(base, ListKind::Plans, R"({"plans":[]})", "e")),
            std::vector<std::string>{"uses[0].plan: no such plan"});
  auto same = replaceList(base, ListKind::Uses, formatList(base, ListKind::Uses), "e-8");
  EXPECT_EQ(std::get<Lists>(same).revision, 8U);
  EXPECT_EQ(formatList(std::get<Lists>(same), ListKind::Plans), formatList(base, ListKind::Plans));
}

// Guards against example lists that the system rejects.
TEST(Lists, ExamplesAreValid) {
  struct Deployment {
    std::string name;
    std::size_t models, adapters;
    std::string idempotent, nonIdempotent, plan;
  };
  for (auto &it : {Deployment{"hivatal", 40, 75, "stock", "deliveries", "drivers"},
                   Deployment{"confraternita", 20, 40, "permits", "closures", "captains"}}) {
    auto plans = replaceList({}, ListKind::Plans, readFile("examples/" + it.name + "/plans.json"),
                             "example");
    ASSERT_EQ(formatErrors(plans), std::vector<std::string>{});
    auto both = replaceList(std::get<Lists>(plans), ListKind::Uses,
                            readFile("examples/" + it.name + "/uses.json"), "example");
    ASSERT_EQ(formatErrors(both), std::vector<std::string>{});
    auto &lists = std::get<Lists>(both);
    auto adapters = std::count_if(lists.models.begin(), lists.models.end(),
                                  [](auto &m) { return m.second.isAdapter(); });
    EXPECT_EQ(static_cast<std::size_t>(adapters), it.adapters);
    EXPECT_EQ(lists.models.size(), it.models + it.adapters);
    EXPECT_TRUE(lists.services.at(ServiceName(it.idempotent)).idempotent);
    EXPECT_FALSE(lists.services.at(ServiceName(it.nonIdempotent)).idempotent);
    EXPECT_EQ(lists.planOfKey("example-key-" + it.plan)->name.value, it.plan);
  }
}

/// Applies one to three random mutations of bytes, substrings or whole values to a document.
std::string mutate(std::string text, std::mt19937_64 &random) {
  static const std::vector<std::string> Tokens{"0",    "-1",   "1e999", "18446744073709551616",
                                               "null", "\"\"", "{}",    "[]",
                                               "true", "1.25", "\"a\"", "\"m\"",
                                               ",",    ":",    "\xff",  "1500.125"};
  for (auto n = random() % 3 + 1; n > 0 && !text.empty(); --n) {
    auto i = random() % text.size();
    auto length = std::min<std::size_t>(random() % 8, text.size() - i);
    switch (random() % 4) {
    case 0:
      text[i] = static_cast<char>(random());
      break;
    case 1:
      text.erase(i, length);
      break;
    case 2:
      text.insert(i, text.substr(random() % text.size(), length));
      break;
    default:
      // Replaces a whole value, so that more documents stay well-formed.
      auto begin = text.find(':', i);
      auto end = text.find_first_of(",}]", begin);
      if (end != std::string::npos)
        text.replace(begin + 1, end - begin - 1, Tokens[random() % Tokens.size()]);
    }
  }
  return text;
}

// Guards against crashes on malformed input, and against accepting lists that change when stored
// and parsed again.
TEST(Lists, MutatedDocumentsAreRefusedOrRoundTrip) {
  auto valid = json::serialize(validDocument());
  std::mt19937_64 random(20260107);
  int accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    auto text = mutate(valid, random);
    auto result = parseLists(text);
    if (auto *errors = std::get_if<ListErrors>(&result)) {
      ASSERT_FALSE(errors->empty()) << text;
      continue;
    }
    ++accepted;
    auto stored = formatLists(std::get<Lists>(result));
    ASSERT_EQ(canonicalise(json::parse(stored)), canonicalise(json::parse(text))) << text;
    auto again = parseLists(stored);
    ASSERT_TRUE(std::holds_alternative<Lists>(again)) << stored;
    ASSERT_EQ(formatLists(std::get<Lists>(again)), stored);
  }
  EXPECT_GT(accepted, 500); // with fewer accepted documents, round trips are hardly tested
}

} // namespace
} // namespace catkin
