#pragma once

#include <boost/leaf/result.hpp>

#include <string>

/// Reads small text files for settings and tools.
namespace catkin {

/// Path of a file that could not be read, and the reason.
struct FileError {
  std::string path;
  std::string reason;
};

/// Returns the whole content of a file, or of standard input if `path` is "-". Fails with a
/// FileError.
boost::leaf::result<std::string> readTextFile(const std::string &path);

/// Reads the whole content of a file into `out`. On failure returns false, leaves `out` unchanged
/// and sets `error` to "PATH: REASON".
bool readTextFile(const std::string &path, std::string &out, std::string &error);

} // namespace catkin
