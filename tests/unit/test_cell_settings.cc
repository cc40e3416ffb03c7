#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
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

} // namespace
