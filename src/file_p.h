#pragma once

#include <boost/leaf/result.hpp>

#include <string>

/// Reading of small text files for settings and tools.
namespace catkin {

/// Why a file could not be read.
struct FileError {
  std::string path;
  std::string reason;
};

/// Whole content of a file, or of standard input for "-". Fails with a FileError.
boost::leaf::result<std::string> readTextFile(const std::string &path);

/// As readTextFile; on failure gives nothing and sets `error` to "PATH: REASON".
bool readTextFile(const std::string &path, std::string &out, std::string &error);

} // namespace catkin
