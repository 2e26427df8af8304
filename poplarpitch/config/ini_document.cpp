#include "poplarpitch/config/ini_document.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/str_cat.h>
#include <ini.h>

#include <algorithm>
#include <cstring>

namespace poplarpitch {
namespace {

constexpr std::size_t max_line_length = 190; // libinih truncates longer lines at INI_MAX_LINE (200)

/// The state that the callbacks of libinih share while one text is parsed.
struct reader_state {
    std::string_view rest;
    int line = 0;
    ini_document document;
};

/// Adds a section. `header` is the section header without its brackets.
void open_section(reader_state& state, std::string_view header) {
    ini_section section;
    section.line = state.line;
    const auto space = header.find_first_of(" \t");
    section.kind = std::string(header.substr(0, space));
    if (space != std::string_view::npos) {
        section.name = std::string(strip(header.substr(space)));
    }
    const auto same = [&](const ini_section& other) {
        return other.kind == section.kind && other.name == section.name;
    };
    const auto& sections = state.document.sections;
    const auto first = std::find_if(sections.begin(), sections.end(), same);
    if (first != sections.end()) {
        state.document.errors.push_back(
            {state.line,
             absl::StrCat("section [", to_absl(header), "] stands twice, first in line ", first->line)});
    }
    state.document.sections.push_back(std::move(section));
}

/// Passes the next line to libinih and records section headers, because libinih reports only sections with
/// values.
char* read_line(char* buffer, int size, void* stream) {
    auto& state = *static_cast<reader_state*>(stream);
    if (state.rest.empty()) {
        return nullptr;
    }
    const auto end = state.rest.find('\n');
    std::string_view line = state.rest.substr(0, end);
    state.rest = end == std::string_view::npos ? std::string_view{} : state.rest.substr(end + 1);
    ++state.line;
    if (line.size() > max_line_length) {
        state.document.errors.push_back(
            {state.line, absl::StrCat("line is longer than ", max_line_length, " characters")});
        line = "";
    }
    if (line.find('\0') != std::string_view::npos) {
        state.document.errors.push_back({state.line, "line holds a NUL byte"});
        line = "";
    }
    const auto stripped = strip(line);
    const auto close = stripped.find(']');
    if (!stripped.empty() && stripped.front() == '[' && close != std::string_view::npos) {
        open_section(state, strip(stripped.substr(1, close - 1)));
    }
    // libinih would treat an indented line as a continuation and join two values, so leading blanks are
    // removed.
    const auto length = std::min(stripped.size(), static_cast<std::size_t>(size) - 2);
    std::memcpy(buffer, stripped.data(), length);
    buffer[length] = '\n';
    buffer[length + 1] = '\0';
    return buffer;
}

/// Called by libinih for each value.
int on_value(void* user, const char* /*section*/, const char* name, const char* value) {
    auto& state = *static_cast<reader_state*>(user);
    if (state.document.sections.empty()) {
        state.document.errors.push_back({state.line, absl::StrCat("'", name, "' stands before any section")});
        return 1;
    }
    auto& entries = state.document.sections.back().entries;
    const auto same = [&](const ini_entry& entry) {
        return entry.key == name;
    };
    const auto first = std::find_if(entries.begin(), entries.end(), same);
    if (first != entries.end()) {
        state.document.errors.push_back(
            {state.line,
             absl::StrCat("'", name, "' stands twice in its section, first in line ", first->line)});
    }
    entries.push_back({name, value, state.line});
    return 1;
}

/// Reports all lines that are neither a header, a value, a comment nor blank, as libinih reports only the
/// first.
void check_syntax(std::string_view text, std::vector<config_error>& errors) {
    int number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = strip(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        ++number;
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            continue;
        }
        if (line.front() == '[') {
            if (line.find(']') == std::string_view::npos) {
                errors.push_back({number, "section header has no closing bracket"});
            }
        } else if (line.find_first_of("=:") == std::string_view::npos) {
            errors.push_back(
                {number, absl::StrCat("'", to_absl(line.substr(0, 40)), "' is no 'key = value' line")});
        }
    }
}

} // namespace

ini_document parse_ini(std::string_view text) {
    reader_state state;
    state.rest = text;
    check_syntax(text, state.document.errors);
    ini_parse_stream(&read_line, &state, &on_value, &state);
    std::stable_sort(state.document.errors.begin(), state.document.errors.end());
    return std::move(state.document);
}

} // namespace poplarpitch
