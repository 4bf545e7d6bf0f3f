#include "lists_p.h"

#include "config.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <set>

namespace catkin {

namespace json = boost::json;

namespace {

constexpr std::string_view KeyPrefix = "sha256:";
constexpr std::size_t KeyHexDigits = 64;
// Rates have at most three decimals. The JSON parser may be off by one unit in the last place;
// rounding to thousandths makes accepted rates round-trip exactly.
constexpr double RateResolution = 1000;

/// Path of a field of the object at `path`.
std::string fieldPath(const std::string &path, std::string_view field) {
  return path.empty() ? std::string(field) : path + "." + std::string(field);
}

/// Path of element `i` of the array at `path`.
std::string elementPath(const std::string &path, std::size_t i) {
  return path + "[" + std::to_string(i) + "]";
}

json::parse_options parseOptions() {
  json::parse_options options;
  options.max_depth = config::MaxListDepth;
  return options;
}

// ---- Duplicate keys and syntax -----------------------------------------------------------------

/// Parser callbacks that report duplicate object keys, which the value parser would merge silently.
/// The parser requires these names.
// NOLINTBEGIN(readability-identifier-naming)
struct DuplicateKeyHandler {
  static constexpr std::size_t max_object_size = std::size_t(-1);
  static constexpr std::size_t max_array_size = std::size_t(-1);
  static constexpr std::size_t max_key_size = std::size_t(-1);
  static constexpr std::size_t max_string_size = std::size_t(-1);

  struct Frame {
    bool isArray = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  std::vector<Frame> frames;
  std::string partialKey;
  ListErrors errors;

  std::string path() const {
    std::string p;
    for (auto &it : frames)
      p = it.isArray ? elementPath(p, it.index) : fieldPath(p, it.key);
    return p;
  }
  /// Advances the index of the enclosing array, if any.
  bool finishValue() {
    if (!frames.empty() && frames.back().isArray)
      ++frames.back().index;
    return true;
  }
  bool finishContainer() {
    frames.pop_back();
    return finishValue();
  }

  using Error = json::error_code;
  bool on_document_begin(Error &) { return true; }
  bool on_document_end(Error &) { return true; }
  bool on_array_begin(Error &) {
    frames.push_back({.isArray = true});
    return true;
  }
  bool on_array_end(std::size_t, Error &) { return finishContainer(); }
  bool on_object_begin(Error &) {
    frames.push_back({});
    return true;
  }
  bool on_object_end(std::size_t, Error &) { return finishContainer(); }
  bool on_key_part(json::string_view s, std::size_t, Error &) {
    partialKey.append(s.data(), s.size());
    return true;
  }
  bool on_key(json::string_view s, std::size_t, Error &) {
    partialKey.append(s.data(), s.size());
    auto &frame = frames.back();
    frame.key = std::exchange(partialKey, {});
    if (!frame.keys.insert(frame.key).second)
      errors.push_back({path(), "field is given twice"});
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, Error &) { return true; }
  bool on_string(json::string_view, std::size_t, Error &) { return finishValue(); }
  bool on_number_part(json::string_view, Error &) { return true; }
  bool on_int64(std::int64_t, json::string_view, Error &) { return finishValue(); }
  bool on_uint64(std::uint64_t, json::string_view, Error &) { return finishValue(); }
  bool on_double(double, json::string_view, Error &) { return finishValue(); }
  bool on_bool(bool, Error &) { return finishValue(); }
  bool on_null(Error &) { return finishValue(); }
  bool on_comment_part(json::string_view, Error &) { return true; }
  bool on_comment(json::string_view, Error &) { return true; }
};
// NOLINTEND(readability-identifier-naming)

/// Message for a parse error `ec` at byte `offset`.
std::string syntaxMessage(const json::error_code &ec, std::size_t offset) {
  if (ec == json::error::too_deep)
    return "nested more than " + std::to_string(config::MaxListDepth) + " levels deep";
  return "not valid JSON at byte " + std::to_string(offset) + ": " + ec.message();
}

// ---- Fields ------------------------------------------------------------------------------------

/// A permitted field of an object.
struct Field {
  std::string_view name;
  bool required = true;
};

/// Reads typed fields and collects every error with its path. A getter returns a default for a
/// missing or invalid field; object() reports missing fields.
class FieldReader {
public:
  ListErrors errors;

  void addError(std::string path, std::string message) {
    errors.push_back({std::move(path), std::move(message)});
  }

  /// Checks that `v` is an object with all required fields and no field outside `fields`. Returns
  /// null if `v` is not an object.
  const json::object *object(const json::value &v, const std::string &path,
                             std::initializer_list<Field> fields) {
    auto *o = v.if_object();
    if (!o) {
      addError(path, "must be an object");
      return nullptr;
    }
    for (auto &it : *o) {
      std::string_view key(it.key().data(), it.key().size());
      if (std::none_of(fields.begin(), fields.end(), [&](auto &f) { return f.name == key; }))
        addError(fieldPath(path, key), "unknown field");
    }
    for (auto &it : fields)
      if (it.required && !o->contains(it.name))
        addError(fieldPath(path, it.name), "field is missing");
    return o;
  }

  const json::array &array(const json::object &o, const std::string &path, std::string_view field) {
    static const json::array Empty;
    auto *v = o.if_contains(field);
    if (!v)
      return Empty;
    if (auto *a = v->if_array())
      return *a;
    addError(fieldPath(path, field), "must be an array");
    return Empty;
  }

  std::string text(const json::value &v, const std::string &path, std::size_t maxLength) {
    auto *s = v.if_string();
    if (!s)
      addError(path, "must be a string");
    else if (s->empty())
      addError(path, "must not be empty");
    else if (s->size() > maxLength)
      addError(path, "is longer than " + std::to_string(maxLength) + " bytes");
    else
      return std::string(s->data(), s->size());
    return {};
  }

  /// Reads a name, which may contain letters, digits and the characters in `marks`.
  std::string name(const json::value &v, const std::string &path, std::string_view marks) {
    auto s = text(v, path, config::MaxNameLength);
    auto allowed = [&](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
             marks.find(c) != std::string_view::npos;
    };
    if (std::all_of(s.begin(), s.end(), allowed))
      return s;
    addError(path, "may only contain letters, digits and " + std::string(marks));
    return {};
  }

  std::string name(const json::object &o, const std::string &path, std::string_view field,
                   std::string_view marks) {
    auto *v = o.if_contains(field);
    return v ? name(*v, fieldPath(path, field), marks) : std::string();
  }

  std::uint64_t integer(const json::object &o, const std::string &path, std::string_view field,
                        std::uint64_t min, std::uint64_t max) {
    auto *v = o.if_contains(field);
    if (!v)
      return min;
    auto where = fieldPath(path, field);
    if (!v->is_number())
      addError(where, "must be a number");
    else if (v->is_int64() && v->get_int64() < 0)
      addError(where, "must not be negative");
    else if (v->is_double())
      addError(where, "must be an integer of at most " + std::to_string(max));
    else
      return inRange(v->to_number<std::uint64_t>(), where, min, max);
    return min;
  }

  /// Reads a rate per second with at most three decimals.
  double rate(const json::object &o, const std::string &path, std::string_view field, double max) {
    auto *v = o.if_contains(field);
    if (!v)
      return 0;
    auto where = fieldPath(path, field);
    if (!v->is_number()) {
      addError(where, "must be a number");
      return 0;
    }
    auto n = v->to_number<double>();
    auto rounded = std::round(n * RateResolution);
    if (n < 0)
      addError(where, "must not be negative");
    else if (!(n <= max))
      addError(where, "must be at most " + std::to_string(static_cast<std::uint64_t>(max)));
    else if (std::abs(n * RateResolution - rounded) > 1e-3)
      addError(where, "may have at most three decimals");
    else
      return rounded / RateResolution;
    return 0;
  }

  bool boolean(const json::object &o, const std::string &path, std::string_view field) {
    auto *v = o.if_contains(field);
    if (v && v->is_bool())
      return v->get_bool();
    if (v)
      addError(fieldPath(path, field), "must be true or false");
    return false;
  }

private:
  std::uint64_t inRange(std::uint64_t n, const std::string &where, std::uint64_t min,
                        std::uint64_t max) {
    if (n < min)
      addError(where, "must be at least " + std::to_string(min));
    else if (n > max)
      addError(where, "must be at most " + std::to_string(max));
    else
      return n;
    return min;
  }
};

/// Parses a JSON document. Returns nothing if it is too large or not valid JSON. The reason, or
/// else any duplicate keys, are added to the errors of `in`.
std::optional<json::value> parseDocument(std::string_view text, FieldReader &in) {
  if (text.size() > config::MaxListBytes) {
    in.addError("", "document is larger than " + std::to_string(config::MaxListBytes) + " bytes");
    return std::nullopt;
  }
  json::error_code ec;
  json::basic_parser<DuplicateKeyHandler> scan(parseOptions());
  auto n = scan.write_some(false, text.data(), text.size(), ec);
  json::value value;
  if (!ec)
    value = json::parse(text, ec, {}, parseOptions());
  if (ec) {
    in.addError("", syntaxMessage(ec, n));
    return std::nullopt;
  }
  in.errors = std::move(scan.handler().errors);
  return value;
}

// Plan and service names are parts of object keys and request paths, so they contain no slash.
constexpr std::string_view NameMarks = "._-";
constexpr std::string_view ModelNameMarks = "._-/:@";

// ---- The two lists -----------------------------------------------------------------------------

/// Reads both lists into `lists` and adds errors to `in`.
class ListReader {
public:
  ListReader(FieldReader &in, Lists &lists) : in(in), lists(lists) {}

  void readPlans(const json::value &v) {
    auto *o = in.object(v, "", {{"plans"}});
    if (!o)
      return;
    auto &items = in.array(*o, "", "plans");
    for (std::size_t i = 0; i < items.size(); ++i)
      readPlan(items[i], elementPath("plans", i));
  }

  void readUses(const json::value &v) {
    auto *o = in.object(v, "", {{"models"}, {"services"}, {"uses"}});
    if (!o)
      return;
    auto &models = in.array(*o, "", "models");
    for (std::size_t i = 0; i < models.size(); ++i)
      readModel(models[i], elementPath("models", i));
    auto &services = in.array(*o, "", "services");
    for (std::size_t i = 0; i < services.size(); ++i)
      readService(services[i], elementPath("services", i));
    checkBases();
    auto &uses = in.array(*o, "", "uses");
    for (std::size_t i = 0; i < uses.size(); ++i)
      readUse(uses[i], elementPath("uses", i));
  }

private:
  /// Records a name and its path. Returns false for an empty name, and for one that is already
  /// taken by another entry of the same kind, which is reported.
  bool registerUnique(const std::string &kind, const std::string &name, const std::string &path) {
    if (name.empty())
      return false;
    auto [it, added] = firstPaths.emplace(kind + " " + name, path);
    if (!added)
      in.addError(path, "the same " + kind + " is already given at " + it->second);
    return added;
  }

  void readPlan(const json::value &v, const std::string &path) {
    auto *o = in.object(v, path, {{"name"}, {"keys"}, {"priority"}, {"grant"}});
    if (!o)
      return;
    Plan plan{.name = PlanName(in.name(*o, path, "name", NameMarks))};
    auto &keys = in.array(*o, path, "keys");
    for (std::size_t i = 0; i < keys.size(); ++i)
      plan.keys.push_back(readKey(keys[i], elementPath(fieldPath(path, "keys"), i)));
    if (auto *p = o->if_contains("priority"))
      plan.priority = readPriority(*p, fieldPath(path, "priority"));
    if (auto *g = o->if_contains("grant"))
      plan.grant = readGrant(*g, fieldPath(path, "grant"));
    if (registerUnique("plan", plan.name.value, fieldPath(path, "name")))
      lists.plans[plan.name] = plan;
  }

  std::string readKey(const json::value &v, const std::string &path) {
    auto key = in.text(v, path, KeyPrefix.size() + KeyHexDigits);
    if (key.empty())
      return key;
    auto hex = std::string_view(key).substr(std::min(KeyPrefix.size(), key.size()));
    if (!key.starts_with(KeyPrefix) || hex.size() != KeyHexDigits ||
        hex.find_first_not_of("0123456789abcdef") != std::string_view::npos)
      in.addError(path, "must be \"sha256:\" and 64 lower-case hexadecimal digits");
    else
      registerUnique("key", key, path);
    return key;
  }

  Priority readPriority(const json::value &v, const std::string &path) {
    auto *s = v.if_string();
    auto p = s ? parseEnum<Priority>(std::string_view(s->data(), s->size())) : std::nullopt;
    if (!p)
      in.addError(path, "must be \"low\", \"normal\" or \"high\"");
    return p.value_or(Priority::Normal);
  }

  Grant readGrant(const json::value &v, const std::string &path) {
    auto *o = in.object(
        v, path, {{"models"}, {"concurrency"}, {"tokens_per_second"}, {"accelerator_bytes"}});
    if (!o)
      return {};
    return {
        .models = static_cast<int>(in.integer(*o, path, "models", 0, config::MaxGrantModels)),
        .concurrency =
            static_cast<int>(in.integer(*o, path, "concurrency", 0, config::MaxGrantConcurrency)),
        .tokensPerSecond = in.rate(*o, path, "tokens_per_second", config::MaxGrantTokensPerSecond),
        .acceleratorBytes =
            in.integer(*o, path, "accelerator_bytes", 0, config::MaxModelOrGrantBytes)};
  }

  void readModel(const json::value &v, const std::string &path) {
    auto *o = in.object(v, path, {{"name"}, {"bytes"}, {"base", false}, {"version", false}});
    if (!o)
      return;
    Model model{.name = ModelName(in.name(*o, path, "name", ModelNameMarks)),
                .base = ModelName(in.name(*o, path, "base", ModelNameMarks)),
                .version = in.name(*o, path, "version", ModelNameMarks),
                .bytes = in.integer(*o, path, "bytes", 1, config::MaxModelOrGrantBytes)};
    if (!registerUnique("model", model.name.value, fieldPath(path, "name")))
      return;
    if (model.isAdapter())
      adapterPaths.emplace_back(model.name, fieldPath(path, "base"));
    lists.models[model.name] = model;
  }

  /// Reports adapters whose base does not exist or is an adapter itself.
  void checkBases() {
    for (auto &[name, path] : adapterPaths) {
      auto base = lists.models.find(lists.models[name].base);
      if (base == lists.models.end())
        in.addError(path, "no such model");
      else if (base->second.isAdapter())
        in.addError(path, "an adapter cannot be the base of an adapter");
    }
  }

  void readService(const json::value &v, const std::string &path) {
    auto *o = in.object(v, path, {{"name"}, {"idempotent"}});
    if (!o)
      return;
    Service service{.name = ServiceName(in.name(*o, path, "name", NameMarks)),
                    .idempotent = in.boolean(*o, path, "idempotent")};
    if (registerUnique("service", service.name.value, fieldPath(path, "name")))
      lists.services[service.name] = service;
  }

  void readUse(const json::value &v, const std::string &path) {
    auto *o = in.object(v, path, {{"plan"}, {"models"}, {"services"}});
    if (!o)
      return;
    Use use{.plan = PlanName(in.name(*o, path, "plan", NameMarks))};
    use.models = readNames(*o, path, "models", "model", ModelNameMarks, lists.models);
    use.services = readNames(*o, path, "services", "service", NameMarks, lists.services);
    if (!registerUnique("use of plan", use.plan.value, fieldPath(path, "plan")))
      return;
    if (!lists.plans.contains(use.plan))
      in.addError(fieldPath(path, "plan"), "no such plan");
    lists.uses[use.plan] = use;
  }

  /// Reads an array of names, each of which must be a key of `known` and may occur only once.
  template <class N, class T>
  std::vector<N> readNames(const json::object &o, const std::string &path, std::string_view field,
                           const std::string &kind, std::string_view marks,
                           const std::map<N, T> &known) {
    std::vector<N> names;
    std::set<N> seen;
    auto &items = in.array(o, path, field);
    for (std::size_t i = 0; i < items.size(); ++i) {
      auto where = elementPath(fieldPath(path, field), i);
      N name(in.name(items[i], where, marks));
      if (name.empty())
        continue;
      if (!known.contains(name))
        in.addError(where, "no such " + kind);
      if (!seen.insert(name).second)
        in.addError(where, "the same " + kind + " is given twice");
      names.push_back(name);
    }
    return names;
  }

  FieldReader &in;
  Lists &lists;
  std::map<std::string, std::string> firstPaths;               ///< by kind and name
  std::vector<std::pair<ModelName, std::string>> adapterPaths; ///< paths of the field "base"
};

/// Reads and validates both lists. `lists` already has its revision and edit identifier.
std::variant<Lists, ListErrors> readLists(FieldReader &in, Lists lists, const json::value &plans,
                                          const json::value &uses) {
  ListReader reader(in, lists);
  reader.readPlans(plans);
  reader.readUses(uses);
  if (in.errors.empty() && formatLists(lists).size() > config::MaxListBytes)
    in.addError("", "both lists together are larger than " + std::to_string(config::MaxListBytes) +
                        " bytes");
  if (!in.errors.empty())
    return std::move(in.errors);
  return lists;
}

// ---- Output ------------------------------------------------------------------------------------

template <class Names> json::array namesToJson(const Names &names) {
  json::array a;
  for (auto &it : names)
    a.emplace_back(it.value);
  return a;
}

/// A whole rate becomes an integer, so that it is printed without a decimal point.
json::value rateToJson(double rate) {
  if (rate == std::floor(rate))
    return static_cast<std::int64_t>(rate);
  return rate;
}

json::value plansToJson(const Lists &lists) {
  json::array plans;
  for (auto &[name, it] : lists.plans) {
    json::object grant{{"models", it.grant.models},
                       {"concurrency", it.grant.concurrency},
                       {"tokens_per_second", rateToJson(it.grant.tokensPerSecond)},
                       {"accelerator_bytes", it.grant.acceleratorBytes}};
    json::array keys(it.keys.begin(), it.keys.end());
    plans.push_back(json::object{{"name", name.value},
                                 {"keys", keys},
                                 {"priority", std::string(toString(it.priority))},
                                 {"grant", grant}});
  }
  return json::object{{"plans", plans}};
}

json::value usesToJson(const Lists &lists) {
  json::array models;
  for (auto &[name, it] : lists.models) {
    json::object model{{"name", name.value}, {"bytes", it.bytes}};
    if (it.isAdapter())
      model["base"] = it.base.value;
    if (!it.version.empty())
      model["version"] = it.version;
    models.push_back(model);
  }
  json::array services;
  for (auto &[name, it] : lists.services)
    services.push_back(json::object{{"name", name.value}, {"idempotent", it.idempotent}});
  json::array uses;
  for (auto &[plan, it] : lists.uses)
    uses.push_back(json::object{{"plan", plan.value},
                                {"models", namesToJson(it.models)},
                                {"services", namesToJson(it.services)}});
  return json::object{{"models", models}, {"services", services}, {"uses", uses}};
}

json::value listToJson(const Lists &lists, ListKind kind) {
  return kind == ListKind::Plans ? plansToJson(lists) : usesToJson(lists);
}

void print(std::string &out, const json::value &v, std::size_t indent);

/// Prints the members of an object or array, one per line.
template <class Items, class PrintItem>
void printItems(std::string &out, const Items &items, std::size_t indent, char open, char close,
                PrintItem printItem) {
  out += open;
  bool first = true;
  for (auto &it : items) {
    out += first ? "\n" : ",\n";
    first = false;
    out.append(indent + 2, ' ');
    printItem(it);
  }
  if (!first) {
    out += '\n';
    out.append(indent, ' ');
  }
  out += close;
}

void print(std::string &out, const json::value &v, std::size_t indent) {
  if (auto *o = v.if_object())
    return printItems(out, *o, indent, '{', '}', [&](auto &it) {
      out += json::serialize(it.key());
      out += ": ";
      print(out, it.value(), indent + 2);
    });
  if (auto *a = v.if_array())
    return printItems(out, *a, indent, '[', ']', [&](auto &it) { print(out, it, indent + 2); });
  if (!v.is_double()) {
    out += json::serialize(v);
    return;
  }
  std::array<char, 32> buf{};
  auto end = std::to_chars(buf.data(), buf.data() + buf.size(), v.get_double()).ptr;
  out.append(buf.data(), end);
}

} // namespace

// ---- Lists -------------------------------------------------------------------------------------

const Plan *Lists::planOfKey(std::string_view bearerKey) const {
  auto hash = hashKey(bearerKey);
  for (auto &[name, it] : plans)
    if (std::find(it.keys.begin(), it.keys.end(), hash) != it.keys.end())
      return &it;
  return nullptr;
}

bool Lists::mayUse(const PlanName &plan, const ModelName &model) const {
  auto it = uses.find(plan);
  if (it == uses.end())
    return false;
  auto &names = it->second.models;
  return std::find(names.begin(), names.end(), model) != names.end();
}

bool Lists::mayUse(const PlanName &plan, const ServiceName &service) const {
  auto it = uses.find(plan);
  if (it == uses.end())
    return false;
  auto &names = it->second.services;
  return std::find(names.begin(), names.end(), service) != names.end();
}

const Model *Lists::model(const ModelName &name) const {
  auto it = models.find(name);
  return it == models.end() ? nullptr : &it->second;
}

std::variant<Lists, ListErrors> parseLists(std::string_view document) {
  FieldReader in;
  auto parsed = parseDocument(document, in);
  if (!parsed)
    return std::move(in.errors);
  auto *o = in.object(*parsed, "", {{"revision"}, {"edit_id"}, {"plans"}, {"uses"}});
  if (!o || !o->contains("plans") || !o->contains("uses"))
    return std::move(in.errors);
  Lists lists;
  lists.revision = in.integer(*o, "", "revision", 0, INT64_MAX);
  auto *id = o->if_contains("edit_id");
  bool isFirst = lists.revision == 0 && id && *id == ""; // there has been no edit yet
  if (!isFirst)
    lists.editId = in.name(*o, "", "edit_id", ModelNameMarks);
  return readLists(in, std::move(lists), o->at("plans"), o->at("uses"));
}

std::string formatLists(const Lists &lists) {
  return json::serialize(json::object{{"revision", lists.revision},
                                      {"edit_id", lists.editId},
                                      {"plans", plansToJson(lists)},
                                      {"uses", usesToJson(lists)}});
}

std::string formatList(const Lists &lists, ListKind kind) {
  std::string out;
  print(out, listToJson(lists, kind), 0);
  out += '\n';
  return out;
}

std::variant<Lists, ListErrors> replaceList(const Lists &base, ListKind kind,
                                            std::string_view document, std::string editId) {
  FieldReader in;
  auto edited = parseDocument(document, in);
  if (!edited)
    return std::move(in.errors);
  bool isPlans = kind == ListKind::Plans;
  auto otherList = listToJson(base, isPlans ? ListKind::Uses : ListKind::Plans);
  Lists lists;
  lists.revision = base.revision + 1;
  lists.editId = std::move(editId);
  return readLists(in, std::move(lists), isPlans ? *edited : otherList,
                   isPlans ? otherList : *edited);
}

std::string hashKey(std::string_view bearerKey) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned n = 0;
  EVP_Digest(bearerKey.data(), bearerKey.size(), digest.data(), &n, EVP_sha256(), nullptr);
  constexpr std::string_view HexDigits = "0123456789abcdef";
  std::string text(KeyPrefix);
  for (unsigned i = 0; i < n; ++i) {
    text += HexDigits[digest[i] >> 4];
    text += HexDigits[digest[i] & 15];
  }
  return text;
}

} // namespace catkin
