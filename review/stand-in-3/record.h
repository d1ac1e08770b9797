// What was sent, answered and run, with the time in milliseconds.
#ifndef REVIEW_STAND_IN_3_RECORD_H_
#define REVIEW_STAND_IN_3_RECORD_H_

#include <fstream>
#include <string>

#include "loop.h"

namespace review {

class Record {
 public:
  Record(const std::string& path, const Loop& loop)
      : file_(path), loop_(loop) {}

  void Line(const std::string& text) {
    file_ << loop_.Now() << " " << text << "\n" << std::flush;
  }

 private:
  std::ofstream file_;
  const Loop& loop_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_RECORD_H_
