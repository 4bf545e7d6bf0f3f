#include "decode_p.h"
#include "node_settings_p.h"
#include "request_codec_p.h"

#include <gtest/gtest.h>

namespace catkin::platform {
namespace {

FeedObject makeObject(const std::string &json) {
  return {.name = "i-1", .revision = 1, .content = json::parse(json)};
}

constexpr auto GoodEntry =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,)"
    R"("state":"ready","cold_left_ms":0,"stage":"both","models":[{"name":"m","version":1,)"
    R"("adapters":["a1"]}],"sequence":4,"born":1789175362622,)"
    R"("at_hand":{"in_memory":["m"],"on_disk":["m","n"]}})";

TEST(PlatformDecode, ReadsAnEndpoint) {
  auto e = decodeEndpoint(makeObject(GoodEntry));
  ASSERT_TRUE(e.has_value());
  EXPECT_EQ(e->name, EndpointName("i-1"));
  EXPECT_EQ(e->incarnation, 1789175362622U);
  EXPECT_EQ(e->softwareVersion, SoftwareVersion("v1"));
  EXPECT_EQ(e->startedAtSeconds, 1789175362);
  EXPECT_EQ(e->holdings.orderCount, 4U);
  EXPECT_TRUE(holds(e->holdings.models, {ModelName("m"), "a1"}));
  EXPECT_EQ(e->holdings.onDisk.size(), 2U);
  EXPECT_EQ(e->liveness, Liveness::Live);
}

// Guards against sending requests to an endpoint whose entry another writer has corrupted.
TEST(PlatformDecode, SpoiltEntriesNameNoEndpoint) {
  const std::string good = GoodEntry;
  auto decodesWith = [&](const std::string &from, const std::string &to) {
    auto text = good;
    text.replace(text.find(from), from.size(), to);
    return decodeEndpoint(makeObject(text)).has_value();
  };
  EXPECT_FALSE(decodesWith("\"ready\"", "\"resting\""));
  EXPECT_FALSE(decodesWith("\"ready\"", "7"));
  EXPECT_FALSE(decodesWith("\"10.0.0.9:80\"", "\"nowhere\""));
  EXPECT_FALSE(decodesWith("\"slots\":64", "\"slots\":\"64\""));
  EXPECT_FALSE(decodesWith("\"service\":\"s\"", "\"service\":null"));
  EXPECT_FALSE(decodesWith("1789175362622", "1.5"));
  EXPECT_FALSE(decodesWith("\"v1\"", "1"));
  EXPECT_FALSE(decodesWith("\"version\":\"v1\",\"slots\"", "\"slots\""));
  EXPECT_FALSE(decodeEndpoint({.name = "i-1", .content = json::value("text")}).has_value());
}

TEST(PlatformDecode, ReadsAConfiguration) {
  auto config = decodeConfig(makeObject(
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",)"
      R"("timeout_ms":17000,"objective_ms":2500,"priority":1,"traffic_split":[)"
      R"({"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2,)"
      R"("resumable":true,"gap_aim_ms":400}],"services":[{"name":"a","health_path":"/health",)"
      R"("connection_cap":370,"engine":{"slots":64,"weights_mb":200000.0,"adapter_slots":8,)"
      R"("kv_capacity_tokens":232000,)"
      R"("loads_per_s":2.1,"models":[{"name":"m","weights_mb":65500.0,"load_s":6.0,"adapters":4,)"
      R"("adapter_mb":40.0,"warm_s":0.38,"disk_s":0.76}]}},{"name":"b"}]})"));
  ASSERT_TRUE(config.has_value());
  EXPECT_EQ(config->version, 7U);
  auto &route = config->routes[0];
  EXPECT_EQ(route.kind, CallKind::Stream);
  EXPECT_TRUE(route.resumable);
  EXPECT_EQ(route.maxEndpoints, 2);
  EXPECT_EQ(route.services.size(), 2U);
  auto &engine = config->services.at(ServiceName("a")).engine;
  EXPECT_EQ(engine.models.at(ModelName("m")).diskLoad, std::chrono::milliseconds(760));
  EXPECT_EQ(engine.tokens, 232'000);
  EXPECT_FALSE(config->services.at(ServiceName("b")).hasEngines);
}

/// Decodes a configuration with these teams.
std::optional<FleetConfig> decodeTeams(const std::string &teams) {
  return decodeConfig(
      makeObject(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/",)"
                 R"("kind":"safe","keyless":true}],"tenants":)" +
                 teams + "}"));
}

TEST(PlatformDecode, ReadsTeams) {
  const auto config = decodeTeams(
      R"([{"name":"a","api_keys":["k1","k2"],"priority":1,"unit":"token_count",)"
      R"("plain_tokens":200,"rate_per_s":483492,"burst":5},{"name":"b","api_keys":["k3"]}])");
  ASSERT_TRUE(config.has_value());
  EXPECT_TRUE(config->routes[0].keyless);
  const Team *team = config->teams.findByKey("k2");
  ASSERT_NE(team, nullptr);
  EXPECT_EQ(team->name, TeamName("a"));
  EXPECT_EQ(team->priority, 1);
  EXPECT_EQ(team->quota, (TeamQuota{QuotaUnit::Tokens, 483492, 5, 200}));
  EXPECT_EQ(config->teams.findByKey("k3")->priority, std::nullopt);
  EXPECT_EQ(config->teams.findByKey("k3")->quota, TeamQuota{});
  EXPECT_EQ(config->teams.findByKey("k"), nullptr);
  EXPECT_EQ(config->teams.keyCount(), 3U);
}

// Guards against an invalid team that takes effect, alone or with the valid ones.
TEST(PlatformDecode, InvalidTeamTakesEffect) {
  EXPECT_TRUE(decodeTeams("[]").has_value());
  for (const char *it : {R"([{"name":"","api_keys":["k"]}])", R"([{"api_keys":["k"]}])",
                         R"([{"name":"a","unit":"litres"}])", R"([{"name":"a","unit":7}])",
                         R"([{"name":"a","rate_per_s":-1}])", R"([{"name":"a","burst":"5"}])",
                         R"([{"name":"a","api_keys":"k"}])", R"([{"name":"a","api_keys":[""]}])",
                         R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
                         R"([{"name":"a"},{"name":"a"}])", R"([{"name":"a\r\nHold: 1"}])",
                         R"([{"name":"a","api_key_digests":["00"]}])", R"([7])", R"({})"})
    EXPECT_FALSE(decodeTeams(it).has_value()) << it;
}

// Guards against keys that leave the host with the configuration that it shares.
TEST(PlatformDecode, SharedConfigurationHasKeys) {
  auto object = makeObject(R"({"version":7,"tenants":[{"name":"a","api_keys":["secret-1"]}]})");
  replaceKeys(object.content);
  EXPECT_EQ(json::serialize(object.content).find("secret-1"), std::string::npos);
  const auto config = decodeConfig(object);
  ASSERT_TRUE(config.has_value());
  EXPECT_NE(config->teams.findByKey("secret-1"), nullptr);
}

TEST(PlatformDecode, AdaptersOnTheirWayTakePlaces) {
  json::object body;
  ASSERT_TRUE(parseObject(R"({"models":[{"name":"m","adapters":[]}],"sequence":2,"born":5,)"
                          R"("busy":true,"coming":["m/a3@1"]})",
                          body));
  auto status = decodeStatus(body);
  ASSERT_TRUE(status.has_value());
  EXPECT_TRUE(status->busy);
  EXPECT_TRUE(holds(status->holdings.models, {ModelName("m"), "a3"}));
}

TEST(PlatformDecode, OddHeadersNameTheFirstRequestOfAStream) {
  const auto decode = [](const std::vector<std::pair<const char *, std::string>> &headers) {
    HttpRequest request;
    request.set("Request-Id", "a");
    for (auto &[name, value] : headers)
      request.insert(name, value);
    return HeaderCodec().decode(request);
  };
  EXPECT_FALSE(decode({}).resumption);
  EXPECT_FALSE(decode({{"Last-Event-Id", ""}}).resumption);
  EXPECT_EQ(decode({{"Last-Event-Id", "3"}, {"Resumes", "b"}}).resumption->firstRequestId, "b");
  EXPECT_EQ(decode({{"Resumes", "b"}, {"Resumes", "b"}}).resumption->firstRequestId, "b");
  EXPECT_EQ(decode({{"Last-Event-Id", "3"}}).resumption->firstRequestId, "");
  EXPECT_EQ(decode({{"Resumes", "b"}, {"Resumes", "c"}}).resumption->firstRequestId, "");
  EXPECT_NE(decode({{"Last-Event-Id", "3"}, {"Last-Event-Id", "4"}}).rejectionReason, "");
}

HttpRequest makeCall() {
  HttpRequest request{http::verb::post, "/p/x", 11};
  request.set("Host", "h.example");
  request.set("Request-Id", "id1");
  request.set("Model", "m/a1");
  request.set("Prompt-Prefix", "5c:800,91:410,e4:250");
  request.set("Deadline-Ms", "6000");
  return request;
}

TEST(RequestCodecTest, ReadsACall) {
  HeaderCodec codec;
  auto call = codec.decode(makeCall());
  EXPECT_EQ(call.rejectionReason, "");
  EXPECT_EQ(call.model, (ModelRef{ModelName("m"), "a1"}));
  EXPECT_EQ(*call.deadline, std::chrono::seconds(6));
  auto other = makeCall();
  other.set("Prompt-Prefix", "5c:800,91:410,ff:99");
  EXPECT_EQ(codec.decode(other).affinity, call.affinity);
  ASSERT_EQ(call.traits.size(), 4U); // two of the request itself
  EXPECT_EQ(call.traits[2], (RequestTrait{TraitKind::PromptPart, 0x5c}));
  EXPECT_EQ(call.traits[3], (RequestTrait{TraitKind::PromptPart, 0x91}));
  other.set("Prompt-Prefix", "e4:250"); // the only part belongs to the request itself
  EXPECT_EQ(codec.decode(other).traits.size(), 2U);
}

// Returns the traits of the request itself, without those of its prompt.
std::vector<RequestTrait> ownTraits(const HttpRequest &request) {
  auto traits = HeaderCodec().decode(request).traits;
  std::erase_if(traits, [](auto &it) { return it.kind == TraitKind::PromptPart; });
  return traits;
}

TEST(RequestCodecTest, RepeatOfARequestIsTakenForAnother) {
  const auto call = makeCall();
  auto repeat = call;
  repeat.set("Request-Id", "id2");
  repeat.set("Deadline-Ms", "5000");
  repeat.set("Connection", "close");
  repeat.set("Last-Event-Id", "3");
  repeat.chunked(true);
  EXPECT_EQ(ownTraits(repeat), ownTraits(call));
  repeat.set("X-Trace", "7");
  EXPECT_NE(ownTraits(repeat)[0], ownTraits(call)[0]);
  EXPECT_EQ(ownTraits(repeat)[1], ownTraits(call)[1]);
}

TEST(RequestCodecTest, OtherRequestIsTakenForARepeat) {
  const auto call = makeCall();
  std::vector<HttpRequest> others(5, call);
  others[0].body() = "x";
  others[1].target("/p/x?y");
  others[2].set("X-Api-Key", "k2");
  others[3].method(http::verb::put);
  others[4].set("Host", "g.example");
  for (auto &it : others) {
    EXPECT_NE(ownTraits(it)[0], ownTraits(call)[0]);
    EXPECT_NE(ownTraits(it)[1], ownTraits(call)[1]);
  }
}

TEST(RequestCodecTest, NamesFaults) {
  HeaderCodec codec;
  auto call = makeCall();
  call.erase("Request-Id");
  EXPECT_NE(codec.decode(call).rejectionReason, "");
  for (const char *it : {"soon", "-5", "nan", "1e400"}) {
    auto bad = makeCall();
    bad.set("Deadline-Ms", it);
    EXPECT_NE(codec.decode(bad).rejectionReason, "") << it;
  }
}

// Guards against callers that set headers reserved for the system, and against forwarding
// hop-by-hop headers.
TEST(RequestCodecTest, ForwardsOnlyWhatBelongsToTheRequest) {
  HeaderCodec codec;
  auto call = makeCall();
  for (const char *it : {"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Expect-Instance", "X-Hop"})
    call.set(it, "1");
  call.set("Connection", "close, X-Hop");
  call.set("X-Kept", "1");
  FleetEndpoint to{.name = EndpointName("i-9")};
  auto out = codec.buildForwardedRequest(
      call,
      {.to = &to, .timeLeft = std::chrono::milliseconds(1500), .priority = 2, .lastEventId = "17"});
  for (const char *it : {"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "X-Hop", "Connection"})
    EXPECT_EQ(out.find(it), out.end()) << it;
  EXPECT_EQ(out["Expect-Instance"], "i-9");
  EXPECT_EQ(out["Deadline-Ms"], "1500");
  EXPECT_EQ(out["Last-Event-Id"], "17");
  EXPECT_EQ(out["Request-Id"], "id1");
  EXPECT_EQ(out["X-Kept"], "1");
}

// Guards against malformed keys and sizes that are taken for valid ones.
TEST(RequestCodecTest, ReadsKeyAndTokens) {
  const auto decode = [](const char *name, const std::vector<std::string> &values) {
    HttpRequest request;
    for (auto &it : values)
      request.insert(name, it);
    return HeaderCodec().decode(request);
  };
  EXPECT_EQ(decode("x-api-key", {"k1"}).apiKey, "k1");
  const std::string control("k\x01");
  for (auto &it : std::vector<std::vector<std::string>>{
           {}, {""}, {"k1", "k1"}, {"k1,k1"}, {"k 1"}, {control}, {std::string(257, 'k')}})
    EXPECT_FALSE(decode("X-Api-Key", it).apiKey.has_value());
  const auto tokens = decode("Token-Count", {"1460,80"}).tokens;
  ASSERT_TRUE(tokens.has_value());
  EXPECT_EQ(tokens->prompt, 1460);
  EXPECT_EQ(tokens->output, 80);
  for (const char *it : {"", "1460", "1460,", ",80", "-1,80", "1,2,3", "1.5,2", "99999999999,1"})
    EXPECT_FALSE(decode("Token-Count", {it}).tokens.has_value()) << it;
}

// Guards against keys that reach endpoints, and against callers that choose their team.
TEST(RequestCodecTest, ForwardsKeyOrForgedTeam) {
  HeaderCodec codec;
  FleetEndpoint to{.name = EndpointName("i-9")};
  auto call = makeCall();
  for (const char *name : {"X-Api-Key", "x-api-key", "Tenant", "TENANT"})
    call.insert(name, "forged");
  const auto forward = [&](bool identifies, const char *team) {
    return codec.buildForwardedRequest(
        call, {.to = &to, .identifiesTeam = identifies, .team = TeamName(team)});
  };
  EXPECT_EQ(forward(false, "").count("X-Api-Key"), 2U);
  EXPECT_EQ(forward(false, "").count("Tenant"), 2U);
  const auto named = forward(true, "a");
  EXPECT_EQ(named.count("X-Api-Key"), 0U);
  EXPECT_EQ(named.count("Tenant"), 1U);
  EXPECT_EQ(named["Tenant"], "a");
  EXPECT_EQ(forward(true, "").count("Tenant"), 0U);
}

// Guards against delivering the answer to another request.
TEST(RequestCodecTest, TellsAnswersApart) {
  HeaderCodec codec;
  CallerRequest call{.id = "id1"};
  FleetEndpoint from{.name = EndpointName("i-9")};
  HttpResponse answer{http::status::ok, 11};
  answer.set("Request-Id", "id2");
  EXPECT_TRUE(codec.readHead(answer.base(), call, from).wrongRequest);
  answer.set("Request-Id", "id1");
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).wrongRequest);
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).isAuthentic);
  answer.set("Server-Stamp", "stamp");
  EXPECT_TRUE(codec.readHead(answer.base(), call, from).isAuthentic);
  answer.insert("Request-Id", "id2");
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).isAuthentic);
  answer.set("Request-Id", "id1");
  answer.result(421);
  answer.set("Instance", "i-2");
  EXPECT_TRUE(codec.readHead(answer.base(), call, from).wrongEndpoint);
  EXPECT_TRUE(codec.readHead(answer.base(), call, from).notRun);
}

// Guards against new requests to an engine whose answers announce that it is leaving or asks for a
// backoff, and against invalid values that would exclude an engine permanently.
TEST(RequestCodecTest, ReadsWhatAnEngineSaysOfItself) {
  HeaderCodec codec;
  CallerRequest call{.id = "id1"};
  FleetEndpoint from{.name = EndpointName("i-9")};
  HttpResponse answer{http::status::ok, 11};
  answer.set("Request-Id", "id1");
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).announced.leaving);
  answer.set("Server-Leaving", "1");
  EXPECT_TRUE(codec.readHead(answer.base(), call, from).announced.leaving);
  answer.set("Retry-After", "2.5");
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).backoff.has_value());
  answer.result(503);
  EXPECT_EQ(codec.readHead(answer.base(), call, from).backoff, std::chrono::milliseconds(2500));
  answer.result(429);
  EXPECT_EQ(codec.readHead(answer.base(), call, from).backoff, std::chrono::milliseconds(2500));
  for (const char *it : {"soon", "-1", "nan", "inf", ""}) {
    answer.set("Retry-After", it);
    auto backoff = codec.readHead(answer.base(), call, from).backoff;
    EXPECT_LE(backoff.value_or(Duration::zero()), std::chrono::minutes(5)) << it;
  }
  answer.result(421);
  answer.set("Instance", "i-2"); // another engine uses the address now
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).announced.leaving);
}

// Guards against a limit of requests that is ignored, and against invalid values that would set or
// end one.
TEST(RequestCodecTest, ReadsTheLimitThatAnEngineNames) {
  HttpResponse answer{http::status::ok, 11};
  EXPECT_FALSE(readAnnouncements(answer.base()).requestsPerSecond.has_value());
  EXPECT_FALSE(readAnnouncements(answer.base()).limitIsUnreadable);
  for (auto [text, rate] : {std::pair{"1", 1.0}, {"0.25", 0.25}, {"0", 0.0}, {"1500", 1500.0}}) {
    answer.set("Server-Limit", text);
    EXPECT_EQ(readAnnouncements(answer.base()).requestsPerSecond, rate) << text;
  }
  for (const char *it : {"soon", "-1", "nan", "inf", "", "1 a second"}) {
    answer.set("Server-Limit", it);
    EXPECT_FALSE(readAnnouncements(answer.base()).requestsPerSecond.has_value()) << it;
    EXPECT_TRUE(readAnnouncements(answer.base()).limitIsUnreadable) << it;
  }
}

// Guards against an end of a limit in an answer that may lack the header for another reason.
TEST(RequestCodecTest, OnlyAServedRequestShowsThatThereIsNoLimit) {
  HeaderCodec codec;
  CallerRequest call{.id = "id1"};
  FleetEndpoint from{.name = EndpointName("i-9")};
  HttpResponse answer{http::status::ok, 11};
  EXPECT_TRUE(codec.readHead(answer.base(), call, from).announced.servesWithoutLimit);
  EXPECT_FALSE(readAnnouncements(answer.base()).servesWithoutLimit); // of a status call
  answer.set("Server-Limit", "0.5");
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).announced.servesWithoutLimit);
  answer.erase("Server-Limit");
  answer.result(503);
  answer.set("Not-Run", "1");
  EXPECT_FALSE(codec.readHead(answer.base(), call, from).announced.servesWithoutLimit);
}

constexpr auto GoodSettings = "node_name=front-a-1\nip_address=10.1.0.38\nzone=z\n"
                              "listen_addresses.front=10.1.0.38:8149\n"
                              "listen_addresses.ready=10.1.0.38:8141\n"
                              "listen_addresses.directory=10.1.0.38:8143\n"
                              "internal_ports=7380,7395\nplatform.address=10.200.1.7:8142\n"
                              "bounds.budget_slack=56\nbounds.require_fencing=true\n"
                              "some.new.key=anything\n";

TEST(NodeSettingsTest, ReadsTheFile) {
  auto s = readNodeSettings(GoodSettings, 3);
  EXPECT_TRUE(s.faults.empty());
  EXPECT_EQ(s.host.self.peerAddress, (Address{"10.1.0.38", 7380}));
  EXPECT_EQ(s.host.budget.allowance, 56);
  EXPECT_EQ(s.host.firstOrderDelay, Duration::zero());
}

// Guards against keys that are accepted for longer than the deployment allows.
TEST(NodeSettingsTest, BoundOfRevocationIsIgnored) {
  EXPECT_FALSE(readNodeSettings(GoodSettings, 3).host.freshness.strict);
  const std::string lines = "bounds.strict_revocation=true\nbounds.revoke_ms=7000\n";
  const auto s = readNodeSettings(GoodSettings + lines, 3);
  EXPECT_TRUE(s.faults.empty());
  EXPECT_TRUE(s.host.freshness.strict);
  EXPECT_EQ(s.host.freshness.revokeBound, std::chrono::seconds(7));
}

// Guards against orders too soon after those of the former planner where engines check no terms.
TEST(NodeSettingsTest, WaitsForTheFormerPlannerWithoutFencing) {
  std::string text = GoodSettings;
  text.replace(text.find("fencing=true"), 12, "fencing=false");
  EXPECT_GE(readNodeSettings(text, 3).host.firstOrderDelay, std::chrono::seconds(3));
}

TEST(NodeSettingsTest, ListsAllFaultsAtOnce) {
  EXPECT_GE(readNodeSettings("", 3).faults.size(), 7U);
  std::string text = GoodSettings;
  text += "bounds.grace_s=soon\nbounds.budget_ratio=-1\nhalf a li";
  auto s = readNodeSettings(text, 3);
  EXPECT_EQ(s.faults.size(), 3U);
}

} // namespace
} // namespace catkin::platform
