#include "tests/soak/soak_schedule.h"

#include <gtest/gtest.h>

/* Guards against a soak that leaves out faults that it was asked to play. */
TEST(SoakSchedule, PlaysEachKindThatIsNamed)
{
	const struct soak_sizes sizes = {.nodes = 0, .load_ms = 12000};
	struct soak_schedule *schedule = soak_schedule_create(1, &sizes);
	GArray *kinds = g_array_new(FALSE, FALSE, sizeof(enum soak_fault_kind));

	for (int kind = 0; kind < 12; kind++)
		g_array_append_val(kinds, kind);
	soak_schedule_set_kinds(schedule, kinds);
	for (int kind = 0; kind < 12; kind++)
		EXPECT_TRUE(soak_schedule_has_kind(schedule,
						   (enum soak_fault_kind)kind))
			<< soak_fault_type_at((enum soak_fault_kind)kind)->name;
	g_array_unref(kinds);
	soak_schedule_destroy(schedule);
}
