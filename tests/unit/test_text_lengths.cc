#include <algorithm>

#include "pool_fixture.h"

/*
 * Text of others, which no page limits, is carried as it is, however long. Each
 * test is played with lengths on both sides of every limit that a buffer has had.
 */

namespace
{

class TextLengths : public Pool, public testing::WithParamInterface<size_t>
{
      protected:
	/* Of that length, and different from others in its last character. */
	static std::string
	text(char last = 'a')
	{
		return std::string(GetParam() - 1, 'x') + last;
	}
};

INSTANTIATE_TEST_SUITE_P(Bytes, TextLengths,
    testing::Values(1, 63, 64, 127, 128, 160, 200, 4000, 70000));

/*
 * A ticket that was cut to 127 characters was rejected by its worker, and the
 * owner asked for advice and ordered the start again without end.
 */
TEST_P(TextLengths, StartCarriesTheWholeTicket)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}}, nullptr, true, 2000);
	struct wp_advice_request request;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	const std::string ticket = text();
	struct wp_approval approval = {"w", ticket.c_str()};
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ticket, ticket);
}

/* A start without an answer is sent again, with the newest ticket. */
TEST_P(TextLengths, RepeatedStartCarriesTheWholeTicketOfTheNewestAnswer)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}}, nullptr, true, 60000);
	struct wp_advice_request request;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	std::string ticket = text('a');
	struct wp_approval approval = {"w", ticket.c_str()};
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	ticket = text('b');
	approval.ticket = ticket.c_str();
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	answer(orders[0], WP_NO_ANSWER);
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
	EXPECT_EQ(orders[0]->ticket, ticket);
}

} // namespace
