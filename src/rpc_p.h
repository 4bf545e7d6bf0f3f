#pragma once

#include <functional>
#include <memory>
#include <string>

/// JSON-RPC 2.0 codec based on libjsonrpccpp. rpc_codec.cpp is compiled as C++14, because the
/// headers of the library use dynamic exception specifications, which C++17 removed. This header
/// must remain valid C++14.
namespace catkin {

/// Encodes a request that calls `method` with the JSON object `paramsJson`.
std::string encodeRpcRequest(const std::string &method, const std::string &paramsJson, int id);

/// A decoded request. `ok` is false if the text was not a valid JSON-RPC request.
struct RpcRequest {
  bool ok = false;
  std::string method;
  std::string paramsJson;
  int id = 0;
  std::string errorResponse; ///< error response to send if `ok` is false
};

/// A decoded response.
struct RpcResponse {
  bool ok = false; ///< well-formed and not an error response
  std::string resultJson;
  std::string error; ///< reason if `ok` is false
};

/// Decodes a request with an integer id and an object as its parameters.
RpcRequest decodeRpcRequest(const std::string &text);
/// Encodes a successful response to the request with the given id.
std::string encodeRpcResult(const std::string &resultJson, int id);
/// Encodes an error response to the request with the given id.
std::string encodeRpcError(int code, const std::string &message, int id);
/// Decodes the response to the request with the given id.
RpcResponse decodeRpcResponse(const std::string &text, int id);

} // namespace catkin
