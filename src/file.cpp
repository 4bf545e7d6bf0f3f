#include "file_p.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>

namespace catkin {

namespace leaf = boost::leaf;

namespace {

std::string readAll(std::istream &in) { return {std::istreambuf_iterator<char>(in), {}}; }

} // namespace

leaf::result<std::string> readTextFile(const std::string &path) {
  if (path == "-")
    return readAll(std::cin);
  errno = 0;
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return leaf::new_error(FileError{path, errno != 0 ? std::strerror(errno) : "cannot be opened"});
  auto text = readAll(in);
  // Opening a directory succeeds, but reading it fails.
  if (in.bad() || (text.empty() && errno != 0))
    return leaf::new_error(FileError{path, errno != 0 ? std::strerror(errno) : "cannot be read"});
  return text;
}

bool readTextFile(const std::string &path, std::string &out, std::string &error) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(out, readTextFile(path));
        return true;
      },
      [&](const FileError &f) {
        error = f.path + ": " + f.reason;
        return false;
      },
      [&] {
        error = path + ": cannot be read";
        return false;
      });
}

} // namespace catkin
