#include "bench/announce_sim.h"

#include <inttypes.h>
#include <stdio.h>

static void print_row(const char *name,
		      const struct announce_sim_options *options)
{
	struct announce_sim_result result;
	int64_t from_s = options->overload_from_us / G_USEC_PER_SEC;
	int64_t until_s = options->overload_until_us / G_USEC_PER_SEC;

	announce_sim_run(options, &result);
	printf("%-10s %5zu %8.4f %9.0f %8.0f %7.3f %7.3f %7.3f %9" PRId64 "\n",
	       name, options->node_count, result.cores, result.bytes_per_s,
	       result.records_per_s,
	       announce_sim_share_in_target(&result, 2, from_s),
	       announce_sim_share_in_target(&result, from_s, until_s),
	       announce_sim_share_in_target(&result, until_s + 2,
					    options->run_us / G_USEC_PER_SEC),
	       result.longest_stale_us / 1000);
}

/*
 * Prints, by number of nodes, the cost of announcements and the share of
 * requests within their latency target before, during and after an overload.
 */
int main(void)
{
	const size_t sizes[] = {7, 88, 300, 480};

	printf("%-10s %5s %8s %9s %8s %7s %7s %7s %9s\n", "telling", "nodes",
	       "cores", "bytes/s", "recs/s", "before", "during", "after",
	       "stale_ms");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct announce_sim_options options;

		announce_sim_options_default(&options);
		options.node_count = sizes[i];
		print_row("bounded", &options);
		options.unbounded_standings = true;
		print_row("standings", &options);
		options.all_send_config = true;
		print_row("both", &options);
		options.unbounded_standings = false;
		print_row("all help", &options);
	}
	return 0;
}
