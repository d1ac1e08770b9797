#include "Config/yaml_node.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <exception>
#include <sstream>
#include <utility>

namespace hemlockwick {

namespace {

// Builds the tree of one document from the parser's events.
class TreeBuilder : public YAML::EventHandler {
 public:
  auto TakeRoot() -> YamlNode { return std::move(root_); }

  // Stops an endless loop: at a token that it cannot consume, the yaml-cpp
  // parser starts one document after another without advancing.
  void OnDocumentStart(const YAML::Mark& mark) override {
    if (mark.pos <= last_start_) {
      throw YAML::ParserException(mark, "unexpected text");
    }
    last_start_ = mark.pos;
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    RejectAnchor(mark, anchor);
    Add(YamlNode::Kind::kNull, mark);
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    throw YAML::ParserException(mark, "aliases are not supported");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& /*tag*/,
                YAML::anchor_t anchor, const std::string& value) override {
    RejectAnchor(mark, anchor);
    Add(YamlNode::Kind::kScalar, mark).scalar = value;
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    Open(YamlNode::Kind::kSequence, mark, anchor);
  }

  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    Open(YamlNode::Kind::kMap, mark, anchor);
  }

  void OnMapEnd() override { Close(); }

 private:
  static void RejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      throw YAML::ParserException(mark, "anchors are not supported");
    }
  }

  static auto Make(YamlNode::Kind kind, const YAML::Mark& mark) -> YamlNode {
    return YamlNode{kind, mark.line + 1, mark.column + 1, {}, {}};
  }

  auto Add(YamlNode::Kind kind, const YAML::Mark& mark) -> YamlNode& {
    if (open_.empty()) {
      root_ = Make(kind, mark);
      return root_;
    }
    return open_.back().children.emplace_back(Make(kind, mark));
  }

  void Open(YamlNode::Kind kind, const YAML::Mark& mark,
            YAML::anchor_t anchor) {
    RejectAnchor(mark, anchor);
    if (open_.size() == kMaxYamlDepth) {
      throw YAML::ParserException(mark, "nested too deeply");
    }
    open_.push_back(Make(kind, mark));
  }

  void Close() {
    auto closed = std::move(open_.back());
    open_.pop_back();
    if (open_.empty()) {
      root_ = std::move(closed);
    } else {
      open_.back().children.push_back(std::move(closed));
    }
  }

  YamlNode root_;
  std::vector<YamlNode> open_;  // Innermost last.
  int last_start_ = -1;         // Start of the last document.
};

}  // namespace

auto ParseYaml(const std::string& text, const std::string& file,
               Findings& findings) -> std::vector<YamlNode> {
  auto documents = std::vector<YamlNode>();
  const auto report = [&](SourceLocation place, const std::string& problem) {
    findings.push_back(Finding{Severity::kError, std::move(place), "", problem,
                               "correct the YAML; the rest of the file was "
                               "not checked"});
  };
  try {
    auto input = std::istringstream(text);
    auto parser = YAML::Parser(input);
    auto builder = TreeBuilder();
    while (parser.HandleNextDocument(builder)) {
      documents.push_back(builder.TakeRoot());
    }
  } catch (const YAML::Exception& error) {
    report(SourceLocation{file, error.mark.line + 1, error.mark.column + 1},
           error.msg);
  } catch (const std::exception& error) {
    report(SourceLocation{file, 0, 0}, error.what());
  }
  return documents;
}

}  // namespace hemlockwick
