#ifndef TESTS_SOAK_SEEDED_CELL_H
#define TESTS_SOAK_SEEDED_CELL_H

/* A cell of real processes under faults that a seed draws. */

#include <random>

#include "../fault/cell_fixture.h"
#include "seeds.h"

class SeededCell : public Cell, public testing::WithParamInterface<int>
{
      protected:
	void
	SetUp() override
	{
		text_bytes = text_bytes_of(GetParam());
		Cell::SetUp();
		random.seed((unsigned)GetParam());
		http("POST",
		    control + "/_clocks?seed=" + std::to_string(GetParam()));
	}

	void
	TearDown() override
	{
		if (HasFailure())
			std::cerr << "seed " << GetParam() << "\n";
		Cell::TearDown();
	}

	int
	below(int n)
	{
		return (int)(random() % (unsigned)n);
	}

	static void
	pause_ms(int ms)
	{
		usleep((useconds_t)(1000 * ms));
	}

	void
	pause_below(int ms)
	{
		pause_ms(below(ms));
	}

	/* A worker without power is off and has a new life. */
	void
	set_worker(uint32_t worker, bool off, bool reborn)
	{
		http("POST", control + "/_worker",
		    "{\"worker\":" + std::to_string(worker) +
			",\"off\":" + (off ? "true" : "false") +
			",\"reborn\":" + (reborn ? "true}" : "false}"));
	}

	std::mt19937 random;
};

inline std::string
name_of_seed(const testing::TestParamInfo<int> &info)
{
	return std::to_string(info.param);
}

#endif
