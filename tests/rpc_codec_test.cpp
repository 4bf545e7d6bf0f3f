#include "rpc_p.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace catkin {
namespace {

namespace json = boost::json;

// Guards against losing the id, the method or large integers in a request to another host.
TEST(RpcCodec, RequestRoundTrip) {
  const std::string params = R"({"text":"\u00e9\n","n":18446744073709551615,"list":[1,2.5,null]})";
  const auto request = decodeRpcRequest(encodeRpcRequest("sync", params, 41));
  ASSERT_TRUE(request.ok) << request.errorResponse;
  EXPECT_EQ(request.method, "sync");
  EXPECT_EQ(request.id, 41);
  EXPECT_EQ(json::parse(request.paramsJson), json::parse(params));
}

// Guards against matching a response to the wrong call.
TEST(RpcCodec, ResponseBelongsToItsRequest) {
  const auto text = encodeRpcResult(R"({"ok":true})", 7);
  const auto response = decodeRpcResponse(text, 7);
  ASSERT_TRUE(response.ok) << response.error;
  EXPECT_EQ(json::parse(response.resultJson), json::parse(R"({"ok":true})"));
  EXPECT_FALSE(decodeRpcResponse(text, 8).ok);
}

// Guards against reading an error response as a result.
TEST(RpcCodec, ErrorRoundTrip) {
  const auto response = decodeRpcResponse(encodeRpcError(-32001, "not the planner", 3), 3);
  EXPECT_FALSE(response.ok);
  EXPECT_NE(response.error.find("not the planner"), std::string::npos) << response.error;
}

// Guards against a crash on malformed requests or their silent acceptance: each gets an error
// response.
TEST(RpcCodec, MalformedRequestsGetAnErrorResponse) {
  const std::string deep(100000, '[');
  for (const std::string &it :
       {std::string(), std::string("{"), std::string("[]"), std::string("null"),
        std::string(R"([{"jsonrpc":"2.0","id":1,"method":"a","params":{}}])"),
        std::string(R"({"jsonrpc":"2.0","method":"a","params":{}})"),
        std::string(R"({"jsonrpc":"1.0","id":1,"method":"a","params":{}})"),
        std::string(R"({"jsonrpc":"2.0","id":"x","method":"a","params":{}})"),
        std::string(R"({"jsonrpc":"2.0","id":1,"method":"a","params":[1]})"),
        std::string(R"({"jsonrpc":"2.0","id":1,"method":"a"})"),
        std::string(R"({"jsonrpc":"2.0","id":1,"method":5,"params":{}})"), deep}) {
    const auto request = decodeRpcRequest(it);
    EXPECT_FALSE(request.ok) << it.substr(0, 80);
    ASSERT_FALSE(request.errorResponse.empty()) << it.substr(0, 80);
    EXPECT_TRUE(json::parse(request.errorResponse).as_object().contains("error"));
  }
}

// Guards against a crash on malformed responses.
TEST(RpcCodec, MalformedResponsesAreErrors) {
  const std::string deep(100000, '[');
  for (const std::string &it : {std::string(), std::string("[]"), std::string(R"({"id":1})"),
                                std::string(R"({"jsonrpc":"2.0","result":{}})"),
                                std::string(R"({"jsonrpc":"2.0","id":1,"error":"x"})"),
                                std::string(R"({"id":1,"result":{}})"), deep})
    EXPECT_FALSE(decodeRpcResponse(it, 1).ok) << it.substr(0, 80);
}

} // namespace
} // namespace catkin
