#include "rpc_p.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/server.h>

#include <exception>
#include <sstream>

namespace catkin {

namespace {

constexpr int InvalidRequestCode = -32600;
constexpr int InvalidParamsCode = -32602;
constexpr int ParseErrorCode = -32700;

/// Parses strict JSON. Returns false for any other text, including nesting beyond jsoncpp's limit.
bool parseJson(const std::string &text, Json::Value &value) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  } catch (const std::exception &) {
    return false; // jsoncpp throws if the nesting is too deep
  }
}

std::string serializeJson(const Json::Value &value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  return Json::writeString(builder, value);
}

/// Client connector that records the request and returns a fixed response.
class FixedResponseConnector : public jsonrpc::IClientConnector {
public:
  explicit FixedResponseConnector(std::string response) : response(std::move(response)) {}
  // NOLINTNEXTLINE(readability-identifier-naming): name given by the library
  void SendRPCMessage(const std::string &message, std::string &result) noexcept override {
    sentRequest = message;
    result = response;
  }

  std::string sentRequest;

private:
  std::string response;
};

/// Server handler that records the method and its parameters and returns a fixed result or error.
class RecordingHandler : public jsonrpc::IProcedureInvokationHandler {
public:
  // NOLINTNEXTLINE(readability-identifier-naming): name given by the library
  void HandleMethodCall(jsonrpc::Procedure &proc, const Json::Value &input,
                        Json::Value &output) override {
    ++calls;
    method = proc.GetProcedureName();
    params = input;
    if (errorCode != 0)
      throw jsonrpc::JsonRpcException(errorCode, errorMessage);
    output = result;
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name given by the library
  void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override {}

  int calls = 0;
  std::string method;
  Json::Value params;
  Json::Value result;
  int errorCode = 0;
  std::string errorMessage;
};

/// Passes the request `text` to the JSON-RPC 2.0 server of the library, with `method` as its only
/// method. Returns the response.
std::string runServer(const std::string &text, const std::string &method,
                      RecordingHandler &handler) {
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol(
      jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, handler));
  if (!method.empty())
    protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
  std::string response;
  try {
    protocol->HandleRequest(text, response);
  } catch (const std::exception &e) {
    handler.calls = 0;
    response = encodeRpcError(InvalidRequestCode, e.what(), 0);
  }
  return response;
}

/// Encodes the response that the handler gives to a call with this id.
std::string encodeResponse(RecordingHandler &handler, int id) {
  Json::Value request;
  request["jsonrpc"] = "2.0";
  request["id"] = id;
  request["method"] = "call";
  request["params"] = Json::objectValue;
  return runServer(serializeJson(request), "call", handler);
}

RpcRequest invalidRequest(int code, const std::string &message, int id) {
  RpcRequest request;
  request.errorResponse = encodeRpcError(code, message, id);
  return request;
}

} // namespace

std::string encodeRpcRequest(const std::string &method, const std::string &paramsJson, int id) {
  Json::Value params;
  if (!parseJson(paramsJson, params))
    params = Json::objectValue;
  FixedResponseConnector connector(R"({"jsonrpc":"2.0","id":1,"result":{}})");
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  client.CallMethod(method, params);
  Json::Value request;
  parseJson(connector.sentRequest, request);
  request["id"] = id; // the library gives every request the id 1
  return serializeJson(request);
}

RpcRequest decodeRpcRequest(const std::string &text) {
  Json::Value message;
  if (!parseJson(text, message))
    return invalidRequest(ParseErrorCode, "not valid JSON", 0);
  if (!message.isObject() || !message["id"].isInt() || !message["method"].isString())
    return invalidRequest(InvalidRequestCode, "needs a method name and an integer id", 0);
  const int id = message["id"].asInt();
  if (!message["params"].isObject())
    return invalidRequest(InvalidParamsCode, "params must be an object", id);

  RecordingHandler handler;
  RpcRequest request;
  const std::string response = runServer(text, message["method"].asString(), handler);
  request.ok = handler.calls == 1;
  if (!request.ok) {
    request.errorResponse = response;
    return request;
  }
  request.method = handler.method;
  request.paramsJson = serializeJson(handler.params);
  request.id = id;
  return request;
}

std::string encodeRpcResult(const std::string &resultJson, int id) {
  RecordingHandler handler;
  if (!parseJson(resultJson, handler.result))
    handler.result = Json::nullValue;
  return encodeResponse(handler, id);
}

std::string encodeRpcError(int code, const std::string &message, int id) {
  RecordingHandler handler;
  handler.errorCode = code;
  handler.errorMessage = message;
  return encodeResponse(handler, id);
}

RpcResponse decodeRpcResponse(const std::string &text, int id) {
  RpcResponse response;
  Json::Value message;
  if (!parseJson(text, message) || !message.isObject()) {
    response.error = "the response is not a JSON object";
    return response;
  }
  if (!message["id"].isInt() || message["id"].asInt() != id) {
    response.error = "the response has the id of another request";
    return response;
  }
  FixedResponseConnector connector(text);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    response.resultJson = serializeJson(client.CallMethod("call", Json::objectValue));
    response.ok = true;
  } catch (const std::exception &e) {
    response.error = e.what();
  }
  return response;
}

} // namespace catkin
