#pragma once

#include <functional>
#include <memory>
#include <string>

/// JSON-RPC 2.0 codec. libjsonrpccpp does the work in rpc_codec.cpp, the one translation unit that
/// is compiled as C++14, because the library's headers use dynamic exception specifications. This
/// header must stay valid C++14.
namespace catkin {

/// Text of a request that calls `method` with the JSON object `paramsJson`.
std::string encodeRpcRequest(const std::string &method, const std::string &paramsJson, int id);

/// A decoded request or response. `ok` is false for text that is not valid JSON-RPC.
struct RpcRequest {
  bool ok = false;
  std::string method;
  std::string paramsJson;
  int id = 0;
  std::string errorResponse; ///< response to send if !ok
};
struct RpcResponse {
  bool ok = false; ///< well-formed and not an error response
  std::string resultJson;
  std::string error;
};

RpcRequest decodeRpcRequest(const std::string &text);
std::string encodeRpcResult(const std::string &resultJson, int id);
std::string encodeRpcError(int code, const std::string &message, int id);
RpcResponse decodeRpcResponse(const std::string &text, int id);

} // namespace catkin
