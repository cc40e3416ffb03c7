#include <cstdio>
#include <string>

#include <toml++/toml.h>

#include "common/toml.h"

namespace
{

json_t *convert(const toml::node &node, const std::string &path, json_t *lines);

json_t *
convert_table(const toml::table &table, const std::string &path, json_t *lines)
{
	json_t *object = json_object();

	for (auto &&[key, value] : table) {
		std::string name(key.str());
		std::string child = path.empty() ? name : path + "." + name;
		json_object_set_new(
		    object, name.c_str(), convert(value, child, lines));
	}
	return object;
}

json_t *
convert_array(const toml::array &array, const std::string &path, json_t *lines)
{
	json_t *list = json_array();
	size_t index = 0;

	for (auto &&value : array) {
		std::string child = path + "[" + std::to_string(index++) + "]";
		json_array_append_new(list, convert(value, child, lines));
	}
	return list;
}

json_t *
convert(const toml::node &node, const std::string &path, json_t *lines)
{
	json_object_set_new(
	    lines, path.c_str(), json_integer(node.source().begin.line));
	if (const auto *table = node.as_table())
		return convert_table(*table, path, lines);
	if (const auto *array = node.as_array())
		return convert_array(*array, path, lines);
	if (const auto *text = node.as_string())
		return json_string(text->get().c_str());
	if (const auto *number = node.as_integer())
		return json_integer(number->get());
	if (const auto *real = node.as_floating_point())
		return json_real(real->get());
	if (const auto *flag = node.as_boolean())
		return json_boolean(flag->get());
	return json_null();
}

} // namespace

int
toml_read_file(const char *path, struct toml_doc *doc, char *error)
{
	doc->root = nullptr;
	doc->lines = nullptr;
	try {
		toml::table table = toml::parse_file(path);

		doc->lines = json_object();
		doc->root = convert_table(table, "", doc->lines);
		return 0;
	} catch (const toml::parse_error &e) {
		std::string reason(e.description());
		snprintf(error, TOML_ERROR_BYTES, "%s:%u: %s", path,
		    (unsigned int)e.source().begin.line, reason.c_str());
	} catch (const std::exception &e) {
		snprintf(error, TOML_ERROR_BYTES, "%s: %s", path, e.what());
	}
	toml_free(doc);
	return -1;
}

void
toml_free(struct toml_doc *doc)
{
	json_decref(doc->root);
	json_decref(doc->lines);
	doc->root = nullptr;
	doc->lines = nullptr;
}
