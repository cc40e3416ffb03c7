#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <set>
#include <string>
#include <unistd.h>

extern "C" {
#include "curranttackd/cell_settings.h"
#include "curranttackd/settings.h"
}

namespace
{

/* Settings of a daemon with more lines in its sections [vm] and [cell]. */
std::string
with(const std::string &vm, const std::string &cell = "")
{
	return "[vm]\nid = \"v\"\ndomain = \"d\"\n" + vm +
	    "\n[listen]\ncallers = \"127.0.0.1:0\"\n"
	    "ready = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n"
	    "[cell]\nstore = \"127.0.0.1:1\"\n" +
	    cell + "\n";
}

struct cell_settings *
load(const std::string &text, std::string *why)
{
	char path[] = "/tmp/cell-settings-XXXXXX";
	char error[SE_ERROR_BYTES] = "";
	int fd = mkstemp(path);
	struct cell_settings *s;

	std::ofstream(path) << text;
	close(fd);
	s = cell_settings_load(nullptr, path, error);
	*why = error;
	unlink(path);
	return s;
}

uint32_t
relay_above(const std::string &text)
{
	std::string why;
	struct cell_settings *s = load(text, &why);
	uint32_t workers;

	EXPECT_NE(s, nullptr) << why;
	if (s == nullptr)
		return UINT32_MAX;
	workers = s->relay_above_workers;
	talloc_free(s);
	return workers;
}

TEST(CellSettings, OwnerOnNarrowLinkDoesNotCallManyWorkersItself)
{
	EXPECT_LE(relay_above(with("link_mbps = 2.0")), 40U);
	EXPECT_EQ(relay_above(with("link_mbps = 20")), 100U);
	EXPECT_EQ(relay_above(with("")), 100U);
	EXPECT_EQ(relay_above(with("link_mbps = 2", "relay_above = 70")), 70U);
}

TEST(CellSettings, InvalidLinkIsRefusedByName)
{
	for (const char *value : {"0", "-1.5", "\"fast\"", "1e9"}) {
		std::string why;

		EXPECT_EQ(load(with(std::string("link_mbps = ") + value), &why),
		    nullptr);
		EXPECT_NE(why.find("link_mbps"), std::string::npos) << why;
	}
}

std::string
with_vm(const std::string &id, const std::string &domain)
{
	std::string text = with("");

	text.replace(text.find("\"v\""), 3, "\"" + id + "\"");
	return text.replace(text.find("\"d\""), 3, "\"" + domain + "\"");
}

/*
 * The platform names machines and zones, and no page limits the names: a daemon
 * whose settings had longer ones than 63 characters didn't start.
 */
TEST(CellSettings, VmAndDomainHaveNamesOfAnyLength)
{
	std::set<std::string> vms;
	std::string why;

	for (size_t length : {1, 63, 64, 127, 128, 200, 4000, 70000}) {
		for (char last : {'a', 'b'}) {
			const std::string name =
			    std::string(length - 1, 'x') + last;
			struct cell_settings *s =
			    load(with_vm(name, name), &why);

			ASSERT_NE(s, nullptr) << why;
			EXPECT_EQ(s->domain, name);
			EXPECT_EQ(s->vm == name, length <= 63) << s->vm;
			EXPECT_LE(strlen(s->vm), 63U);
			vms.insert(s->vm);
			talloc_free(s);
		}
	}
	EXPECT_EQ(vms.size(), 16U);
}

TEST(CellSettings, VmAndDomainMayHaveAnyCharacters)
{
	std::string why;
	struct cell_settings *s =
	    load(with_vm("edge a/1", "z\u00f6ne \\\"a\\\""), &why);

	ASSERT_NE(s, nullptr) << why;
	EXPECT_STREQ(s->domain, "z\u00f6ne \"a\"");
	EXPECT_EQ(std::string(s->vm).find_first_of(" /"), std::string::npos);
	talloc_free(s);
}

TEST(CellSettings, EmptyNamesAreRefusedByField)
{
	std::string why;

	EXPECT_EQ(load(with_vm("", "d"), &why), nullptr);
	EXPECT_NE(why.find("vm.id"), std::string::npos) << why;
	EXPECT_EQ(load(with_vm("v", ""), &why), nullptr);
	EXPECT_NE(why.find("vm.domain"), std::string::npos) << why;
}

} // namespace
