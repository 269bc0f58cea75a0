/* Errors of the parser are values here, and bad_alloc is caught at each entry,
 * so that no exception reaches a C caller. The library of the package is built
 * with exceptions, hence the header-only form. */
#undef TOML_HEADER_ONLY
#undef TOML_SHARED_LIB
#undef TOML_EXCEPTIONS
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <new>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "burdockgrade/error.h"
}
#include "burdockgrade/toml.h"

/* Longest excerpt of a faulty value in a message. */
static const size_t EXCERPT_BYTES = 40;

struct bg_toml {
	std::string name;
	toml::table root;
	/* Dotted path of each table that was handed out. */
	std::map<const toml::table *, std::string> paths;
	std::set<const toml::node *> known;
	std::vector<bg_toml_problem> problems;
	/* The file itself is at fault; problems of its keys mean nothing. */
	bool is_broken = false;
	bool is_unread = false;
	bool is_out_of_memory = false;
};

static const toml::table *
as_table(const bg_toml_table *tbl)
{
	return reinterpret_cast<const toml::table *>(tbl);
}

static const bg_toml_table *
as_handle(const toml::table *tbl)
{
	return reinterpret_cast<const bg_toml_table *>(tbl);
}

/* Makes text from a file safe for a one-line message. */
static std::string
excerpt(std::string_view text, size_t limit = EXCERPT_BYTES)
{
	std::string out;

	for (unsigned char c : text) {
		if (out.size() >= limit) {
			/* A cut inside a character would not be UTF-8. */
			while (!out.empty() &&
			    (static_cast<unsigned char>(out.back()) & 0xc0) ==
				0x80)
				out.pop_back();
			if (!out.empty() &&
			    static_cast<unsigned char>(out.back()) >= 0xc0)
				out.pop_back();
			return out + "...";
		}
		out += c < 0x20 || c == 0x7f ? '?' : static_cast<char>(c);
	}
	return out;
}

static void
add_problem(bg_toml *doc, toml::source_position at, const std::string &key,
    const std::string &expected)
{
	bg_toml_problem prb = {};

	if (doc->is_broken)
		return;
	prb.line = at.line;
	prb.column = at.column;
	snprintf(prb.key, sizeof(prb.key), "%s", key.c_str());
	snprintf(prb.expected, sizeof(prb.expected), "%s", expected.c_str());
	doc->problems.push_back(prb);
}

static std::string
dotted(const bg_toml *doc, const toml::table *tbl, std::string_view key)
{
	auto it = doc->paths.find(tbl);
	std::string path = it == doc->paths.end() ? "" : it->second;

	if (!path.empty() && !key.empty())
		path += ".";
	path += excerpt(key);
	return path.empty() ? "file" : path;
}

static std::string
describe(const toml::node &node)
{
	if (auto s = node.as_string())
		return "\"" + excerpt(s->get()) + "\"";
	if (auto i = node.as_integer())
		return std::to_string(i->get());
	if (auto f = node.as_floating_point()) {
		char text[32];

		snprintf(text, sizeof(text), "%g", f->get());
		return text;
	}
	if (auto b = node.as_boolean())
		return b->get() ? "true" : "false";
	if (node.is_table())
		return "a table";
	if (node.is_array_of_tables())
		return "an array of tables";
	if (node.is_array())
		return "an array";
	return "a date or time";
}

/* Start of a table; the root has no position of its own. */
static toml::source_position
start_of(const toml::node &node)
{
	toml::source_position at = node.source().begin;

	if (at.line == 0)
		at = {1, 1};
	return at;
}

static void
add_mismatch(bg_toml *doc, const toml::table *tbl, const char *key,
    const toml::node &node, const std::string &expected)
{
	add_problem(doc, start_of(node), dotted(doc, tbl, key),
	    "expected " + expected + ", found " + describe(node));
}

/* Looks up a key, marks it as known and reports it if it is required. */
static const toml::node *
lookup(bg_toml *doc, const bg_toml_table *handle, const char *key,
    enum bg_toml_need need, const std::string &expected)
{
	const toml::table *tbl = as_table(handle);
	const toml::node *node;

	if (tbl == nullptr)
		return nullptr;
	node = tbl->get(key);
	if (node != nullptr)
		doc->known.insert(node);
	else if (need == BG_TOML_REQUIRED)
		add_problem(doc, start_of(*tbl), dotted(doc, tbl, key),
		    "expected " + expected + ", found no such key");
	return node;
}

/* Runs one entry point; memory exhaustion is remembered for finish. */
template <typename Result, typename Body>
static Result
guarded(bg_toml *doc, Result fallback, Body body) noexcept
{
	try {
		return body();
	} catch (...) {
		doc->is_out_of_memory = true;
		return fallback;
	}
}

static bool
is_blank(std::string_view text)
{
	return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

static void
add_broken(bg_toml *doc, toml::source_position at, const std::string &expected)
{
	add_problem(doc, at, "file", expected);
	doc->is_broken = true;
}

static void
parse_into(bg_toml *doc, std::string_view text)
{
	toml::source_position start = {1, 1};

	if (text.size() > BG_TOML_MAX_BYTES) {
		add_broken(doc, start, "expected at most 1 MiB, found more");
		return;
	}
	if (is_blank(text)) {
		add_broken(
		    doc, start, "expected TOML keys, found an empty file");
		return;
	}

	toml::parse_result res = toml::parse(text, doc->name);

	if (res) {
		doc->root = std::move(res).table();
		return;
	}
	if (res.error().source().begin.line != 0)
		start = res.error().source().begin;
	add_broken(doc, start,
	    "expected TOML in UTF-8, found: " +
		excerpt(res.error().description(), BG_TOML_EXPECTED_BYTES));
}

extern "C" int
bg_toml_parse(
    struct bg_toml **out, const char *name, const char *text, size_t text_bytes)
{
	bg_toml *doc = nullptr;

	*out = nullptr;
	try {
		doc = new bg_toml;
		doc->name = name;
		parse_into(doc, std::string_view(text, text_bytes));
	} catch (...) {
		delete doc;
		return BG_ENOMEM;
	}
	*out = doc;
	return 0;
}

static int
load_unread(struct bg_toml **out, const char *path, int error)
{
	int rc = bg_toml_parse(out, path, "", 0);

	if (rc != 0)
		return rc;
	bg_toml_problem &prb = (*out)->problems.front();
	prb.line = 0;
	prb.column = 0;
	snprintf(prb.expected, sizeof(prb.expected),
	    "expected a readable file, found: %s", strerror(error));
	(*out)->is_unread = true;
	return 0;
}

extern "C" int
bg_toml_load(struct bg_toml **out, const char *path)
{
	/* One byte more than allowed shows that a file is too large. */
	const size_t limit = BG_TOML_MAX_BYTES + 1;
	size_t bytes;
	char *text;
	FILE *fp;
	int error;

	*out = nullptr;
	if ((fp = fopen(path, "rbe")) == nullptr)
		return load_unread(out, path, errno);
	if ((text = static_cast<char *>(malloc(limit))) == nullptr) {
		fclose(fp);
		return BG_ENOMEM;
	}
	errno = 0;
	bytes = fread(text, 1, limit, fp);
	if (ferror(fp))
		error = load_unread(out, path, errno);
	else
		error = bg_toml_parse(out, path, text, bytes);
	free(text);
	fclose(fp);
	return error;
}

extern "C" void
bg_toml_free(struct bg_toml *doc)
{
	delete doc;
}

extern "C" const struct bg_toml_table *
bg_toml_root(const struct bg_toml *doc)
{
	return as_handle(&doc->root);
}

extern "C" const struct bg_toml_table *
bg_toml_subtable(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_need need)
{
	return guarded<const bg_toml_table *>(doc, nullptr, [&] {
		const toml::node *node = lookup(doc, tbl, key, need, "a table");

		if (node == nullptr)
			return as_handle(nullptr);
		if (!node->is_table()) {
			add_mismatch(doc, as_table(tbl), key, *node, "a table");
			return as_handle(nullptr);
		}
		doc->paths[node->as_table()] = dotted(doc, as_table(tbl), key);
		return as_handle(node->as_table());
	});
}

extern "C" size_t
bg_toml_table_count(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_need need)
{
	return guarded<size_t>(doc, 0, [&]() -> size_t {
		std::string expected = std::string("[[") + key + "]] tables";
		const toml::node *node = lookup(doc, tbl, key, need, expected);

		if (node == nullptr)
			return 0;
		if (!node->is_array_of_tables()) {
			add_mismatch(doc, as_table(tbl), key, *node, expected);
			return 0;
		}
		return node->as_array()->size();
	});
}

extern "C" const struct bg_toml_table *
bg_toml_table_at(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t index)
{
	return guarded<const bg_toml_table *>(doc, nullptr, [&] {
		const toml::node *node =
		    lookup(doc, tbl, key, BG_TOML_OPTIONAL, "");
		const toml::node *item;

		if (node == nullptr || !node->is_array_of_tables() ||
		    (item = node->as_array()->get(index)) == nullptr)
			return as_handle(nullptr);
		doc->paths[item->as_table()] = dotted(doc, as_table(tbl), key);
		return as_handle(item->as_table());
	});
}

/* Checks the text of a string and copies it. */
static int
store_string(char *out, size_t out_bytes, bg_toml *doc, const toml::table *tbl,
    const char *key, const toml::node &node)
{
	std::string expected =
	    "a string of 1 to " + std::to_string(out_bytes - 1) + " bytes";
	auto str = node.as_string();

	if (str == nullptr || str->get().empty() ||
	    str->get().size() >= out_bytes) {
		add_mismatch(doc, tbl, key, node, expected);
		return 0;
	}
	for (unsigned char c : str->get()) {
		if (c < 0x20 || c == 0x7f) {
			add_mismatch(doc, tbl, key, node,
			    expected + " without control characters");
			return 0;
		}
	}
	memcpy(out, str->get().data(), str->get().size());
	out[str->get().size()] = '\0';
	return 1;
}

extern "C" int
bg_toml_string(char *out, size_t out_bytes, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, enum bg_toml_need need)
{
	return guarded(doc, 0, [&] {
		const toml::node *node =
		    lookup(doc, tbl, key, need, "a string");

		return node == nullptr ? 0
				       : store_string(out, out_bytes, doc,
					     as_table(tbl), key, *node);
	});
}

extern "C" int
bg_toml_u32(uint32_t *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, uint32_t min, uint32_t max, enum bg_toml_need need)
{
	return guarded(doc, 0, [&] {
		std::string expected = "an integer from " +
		    std::to_string(min) + " to " + std::to_string(max);
		const toml::node *node = lookup(doc, tbl, key, need, expected);

		if (node == nullptr)
			return 0;
		auto num = node->as_integer();
		if (num == nullptr || num->get() < int64_t{min} ||
		    num->get() > int64_t{max}) {
			add_mismatch(doc, as_table(tbl), key, *node, expected);
			return 0;
		}
		*out = static_cast<uint32_t>(num->get());
		return 1;
	});
}

extern "C" int
bg_toml_bool(int *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_need need)
{
	return guarded(doc, 0, [&] {
		const toml::node *node =
		    lookup(doc, tbl, key, need, "true or false");

		if (node == nullptr)
			return 0;
		auto val = node->as_boolean();
		if (val == nullptr) {
			add_mismatch(
			    doc, as_table(tbl), key, *node, "true or false");
			return 0;
		}
		*out = val->get() ? 1 : 0;
		return 1;
	});
}

extern "C" int
bg_toml_word(int *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, const char *const *words, enum bg_toml_need need)
{
	return guarded(doc, 0, [&] {
		std::string expected = "one of";
		const toml::node *node;
		int i;

		for (i = 0; words[i] != nullptr; i++)
			expected += std::string(i == 0 ? " \"" : ", \"") +
			    words[i] + "\"";
		if ((node = lookup(doc, tbl, key, need, expected)) == nullptr)
			return 0;
		auto str = node->as_string();
		for (i = 0; str != nullptr && words[i] != nullptr; i++) {
			if (str->get() == words[i]) {
				*out = i;
				return 1;
			}
		}
		add_mismatch(doc, as_table(tbl), key, *node, expected);
		return 0;
	});
}

/* Formats a scaled number as written in a file, for example 9990/100. */
static std::string
unscaled(uint32_t value, uint32_t scale)
{
	char text[32];

	snprintf(text, sizeof(text), "%g", static_cast<double>(value) / scale);
	return text;
}

extern "C" int
bg_toml_scaled(uint32_t *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, uint32_t scale,
    uint32_t min, uint32_t max, enum bg_toml_need need)
{
	/* Larger than the error of binary fractions, smaller than a digit. */
	const double rounding = 1e-4;

	return guarded(doc, 0, [&] {
		std::string expected = "a number from " + unscaled(min, scale) +
		    " to " + unscaled(max, scale) + " in steps of " +
		    unscaled(1, scale);
		const toml::node *node = lookup(doc, tbl, key, need, expected);
		double scaled;

		if (node == nullptr)
			return 0;
		if (auto num = node->as_integer())
			scaled = static_cast<double>(num->get()) * scale;
		else if (auto flt = node->as_floating_point())
			scaled = flt->get() * scale;
		else
			scaled = NAN;
		if (!(scaled >= min - rounding && scaled <= max + rounding) ||
		    std::fabs(scaled - std::round(scaled)) > rounding) {
			add_mismatch(doc, as_table(tbl), key, *node, expected);
			return 0;
		}
		*out = static_cast<uint32_t>(std::lround(scaled));
		return 1;
	});
}

extern "C" size_t
bg_toml_array_count(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t max, enum bg_toml_need need)
{
	return guarded<size_t>(doc, 0, [&]() -> size_t {
		std::string expected =
		    "an array of at most " + std::to_string(max) + " strings";
		const toml::node *node = lookup(doc, tbl, key, need, expected);

		if (node == nullptr)
			return 0;
		if (!node->is_array() || node->as_array()->size() > max) {
			add_mismatch(doc, as_table(tbl), key, *node, expected);
			return 0;
		}
		return node->as_array()->size();
	});
}

extern "C" int
bg_toml_string_at(char *out, size_t out_bytes, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, size_t index)
{
	return guarded(doc, 0, [&] {
		const toml::node *node =
		    lookup(doc, tbl, key, BG_TOML_OPTIONAL, "");
		const toml::node *item;

		if (node == nullptr || !node->is_array() ||
		    (item = node->as_array()->get(index)) == nullptr)
			return 0;
		return store_string(
		    out, out_bytes, doc, as_table(tbl), key, *item);
	});
}

extern "C" int
bg_toml_has(const struct bg_toml_table *tbl, const char *key)
{
	return tbl != nullptr && as_table(tbl)->get(key) != nullptr;
}

extern "C" uint32_t
bg_toml_line(const struct bg_toml_table *tbl, const char *key)
{
	const toml::node *node = as_table(tbl)->get(key);

	return start_of(node == nullptr ? *as_table(tbl) : *node).line;
}

/* Records a formatted problem at a node of a table. */
static void
fail_node(bg_toml *doc, const toml::table *tbl, const char *key,
    const toml::node &node, const char *fmt, va_list ap)
{
	char text[BG_TOML_EXPECTED_BYTES];

	vsnprintf(text, sizeof(text), fmt, ap);
	guarded(doc, 0, [&] {
		add_problem(doc, start_of(node), dotted(doc, tbl, key), text);
		return 0;
	});
}

extern "C" void
bg_toml_fail(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, const char *fmt, ...)
{
	const toml::node *node = as_table(tbl)->get(key);
	va_list ap;

	va_start(ap, fmt);
	fail_node(doc, as_table(tbl), key,
	    node == nullptr ? *as_table(tbl) : *node, fmt, ap);
	va_end(ap);
}

extern "C" void
bg_toml_fail_at(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t index, const char *fmt, ...)
{
	const toml::node *node = as_table(tbl)->get(key);
	const toml::node *item = nullptr;
	va_list ap;

	if (node != nullptr && node->is_array())
		item = node->as_array()->get(index);
	if (item == nullptr)
		item = node == nullptr ? as_table(tbl) : node;
	va_start(ap, fmt);
	fail_node(doc, as_table(tbl), key, *item, fmt, ap);
	va_end(ap);
}

/* Reports keys that no getter asked for. A table that was not handed out has a
 * problem of its own already. */
static void
add_unknown(bg_toml *doc, const toml::table &tbl)
{
	for (auto &&[key, node] : tbl) {
		if (doc->known.count(&node) == 0) {
			add_problem(doc, key.source().begin,
			    dotted(doc, &tbl, key.str()),
			    "expected no such key");
		} else if (auto sub = node.as_table()) {
			if (doc->paths.count(sub) != 0)
				add_unknown(doc, *sub);
		} else if (node.is_array_of_tables()) {
			for (auto &&item : *node.as_array())
				if (doc->paths.count(item.as_table()) != 0)
					add_unknown(doc, *item.as_table());
		}
	}
}

static std::string
problem_line(const bg_toml *doc, const bg_toml_problem &prb)
{
	std::string line = doc->name + ":";

	if (prb.line != 0)
		line += std::to_string(prb.line) + ":";
	return line + " " + prb.key + ": " + prb.expected;
}

/* Joins whole lines as far as they fit. */
static std::string
joined(const bg_toml *doc, size_t limit)
{
	/* Room for the last line, which counts the problems left out. */
	const size_t reserve = 24;
	std::string text;
	size_t shown = 0;

	for (const bg_toml_problem &prb : doc->problems) {
		std::string line = problem_line(doc, prb);

		if (shown > 0 && text.size() + line.size() + reserve > limit)
			break;
		text += (shown > 0 ? "\n" : "") + line;
		shown++;
	}
	if (shown < doc->problems.size())
		text += "\nand " +
		    std::to_string(doc->problems.size() - shown) + " more";
	return text;
}

extern "C" int
bg_toml_finish(struct bg_toml *doc, struct bg_error *err)
{
	return guarded(doc, static_cast<int>(BG_ENOMEM), [&]() -> int {
		add_unknown(doc, doc->root);
		std::stable_sort(doc->problems.begin(), doc->problems.end(),
		    [](const bg_toml_problem &a, const bg_toml_problem &b) {
			    return a.line != b.line ? a.line < b.line
						    : a.column < b.column;
		    });
		if (doc->is_out_of_memory)
			return bg_error_set(err, BG_ENOMEM, "toml", nullptr,
			    "%s: out of memory", doc->name.c_str());
		if (doc->problems.empty())
			return 0;
		return bg_error_set(err, doc->is_unread ? BG_EIO : BG_EINVAL,
		    "toml", nullptr, "%s",
		    joined(doc, BG_ERROR_MESSAGE_BYTES).c_str());
	});
}

extern "C" size_t
bg_toml_problems(const struct bg_toml_problem **out, const struct bg_toml *doc)
{
	*out = doc->problems.data();
	return doc->problems.size();
}

extern "C" int
bg_toml_report(char **out, const struct bg_toml *doc)
{
	*out = nullptr;
	try {
		std::string text;

		for (const bg_toml_problem &prb : doc->problems)
			text += problem_line(doc, prb) + "\n";
		*out = strdup(text.c_str());
	} catch (...) {
		return BG_ENOMEM;
	}
	return *out == nullptr ? BG_ENOMEM : 0;
}
