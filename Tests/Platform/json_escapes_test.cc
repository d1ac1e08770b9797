#include "platform/json_escapes.h"

#include <criterion/criterion.h>

namespace hemlockwick::platform {
namespace {

void AssertReplaced(const std::string& text, const std::string& expected) {
  const auto replaced = ReplaceUnpairedSurrogates(text);
  cr_assert_str_eq(replaced.c_str(), expected.c_str());
}

Test(json_escapes, unpaired_surrogates_are_replaced) {
  AssertReplaced(R"("\ud800")", R"("\uFFFD")");
  AssertReplaced(R"("a\uDCFFb")", R"("a\uFFFDb")");
  AssertReplaced(R"("\ud800\ud800")", R"("\uFFFD\uFFFD")");
  AssertReplaced(R"("\udc00\ud800")", R"("\uFFFD\uFFFD")");
  AssertReplaced(R"("\ud800\u0041")", R"("\uFFFD\u0041")");
}

Test(json_escapes, other_text_is_kept) {
  for (const auto* const text :
       {"", "a", R"("\ud83d\ude00")", R"("\u00e9\n\\")", R"("\\ud800")", R"(\)",
        R"(\u)", R"(\ud8)", R"(\ud8zz)", R"(\\\\)"}) {
    AssertReplaced(text, text);
  }
}

}  // namespace
}  // namespace hemlockwick::platform
