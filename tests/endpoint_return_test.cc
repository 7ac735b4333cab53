#include "core/placement/placement.h"

#include <gtest/gtest.h>

/*
 * A plain endpoint was unreachable and is back, and the single trial request is
 * cancelled by its caller, which shows nothing about the endpoint's health. The
 * next request must still be placed there.
 */
TEST(EndpointReturn, ACancelledTrialIsFollowedByAnother)
{
	struct placement_options options = {};
	struct config *config = config_create();
	struct config_service *service =
		config_add_service(config, "portal", SERVICE_PLAIN);
	struct config_endpoint *endpoint =
		config_service_add_endpoint(service, "10.0.0.2:1");
	GArray *decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));
	struct load_report report = {1, 0, -1, -1, -1, -1, false};
	struct placement *placement;
	int64_t now_us = G_USEC_PER_SEC;

	options.policy = PLACEMENT_PEAK;
	options.kind = SERVICE_PLAIN;
	options.max_waiting = 10;
	options.step_us = 28000;
	placement = placement_create(&options);
	placement_set_endpoint(placement, endpoint, now_us);
	for (int i = 0; i < 3; i++)
		placement_report_unreachable(placement, "10.0.0.2:1", now_us);
	placement_report_load(placement, "10.0.0.2:1", &report, now_us);

	for (uint64_t ticket = 1; ticket <= 3; ticket++) {
		struct placement_request request = {};

		request.ticket = ticket;
		request.organisation = "atlas";
		request.weight = 1;
		request.prompt_tokens = 1;
		now_us += G_USEC_PER_SEC;
		placement_submit(placement, &request, now_us);
		g_array_set_size(decisions, 0);
		placement_step(placement, now_us, decisions);
		ASSERT_EQ(1u, decisions->len) << "ticket " << ticket;
		EXPECT_EQ(PLACEMENT_PLACED,
			  g_array_index(decisions, struct placement_decision, 0)
				  .verdict);
		placement_release(placement, ticket, RELEASE_CANCELLED, 0,
				  now_us);
	}
	placement_destroy(placement);
	g_array_unref(decisions);
	config_unref(config);
}

/*
 * A request waits for a slot of the only endpoint when that endpoint is marked
 * as leaving. Waiting doesn't help then: the request must be refused within a
 * second.
 */
TEST(EndpointReturn, AWaitingRequestIsRefusedWhenItsLastEndpointLeaves)
{
	struct placement_options options = {};
	struct config *config = config_create();
	struct config_service *service =
		config_add_service(config, "portal", SERVICE_PLAIN);
	struct config_endpoint *endpoint =
		config_service_add_endpoint(service, "10.0.0.2:1");
	GArray *decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));
	struct placement *placement;

	endpoint->slots = 1;
	options.policy = PLACEMENT_PEAK;
	options.kind = SERVICE_PLAIN;
	options.max_waiting = 10;
	options.step_us = 28000;
	placement = placement_create(&options);
	placement_set_endpoint(placement, endpoint, 0);
	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		struct placement_request request = {};

		request.ticket = ticket;
		request.organisation = "atlas";
		request.weight = 1;
		request.prompt_tokens = 1;
		placement_submit(placement, &request, 0);
	}
	placement_step(placement, 1, decisions);
	ASSERT_EQ(1u, decisions->len);
	placement_set_leaving(placement, "10.0.0.2:1", true);
	g_array_set_size(decisions, 0);
	placement_step(placement, G_USEC_PER_SEC, decisions);
	ASSERT_EQ(1u, decisions->len);
	const auto &decision =
		g_array_index(decisions, struct placement_decision, 0);
	EXPECT_EQ(PLACEMENT_REFUSED, decision.verdict);
	EXPECT_EQ(REFUSAL_NO_ENDPOINT, decision.refusal);
	placement_destroy(placement);
	g_array_unref(decisions);
	config_unref(config);
}
