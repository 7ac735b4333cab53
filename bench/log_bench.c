#include "adapters/log.h"

#include <stdio.h>
#include <time.h>

/*
 * Measures the processor time to write one log line, system calls included. The
 * lines go to standard output and the results to standard error:
 *
 *     build/bin/log_bench >/dev/null
 *     build/bin/log_bench | cat >/dev/null
 */
#define LINES 200000

static double processor_us(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (double)used.tv_sec * 1e6 + (double)used.tv_nsec / 1e3;
}

static void write_request_end(struct log *log)
{
	log_write(log, LOG_LEVEL_INFO, "request_end", "request",
		  "9c41d07be2a35f68", "route", "report", "organisation",
		  "atlas", "endpoint", "i-7f3a91c2", "outcome", "whole",
		  "reason", "", "status", "200", "sends", "2", "take_overs",
		  "1", "events", "233", "ms", "9130", "first_ms", "417",
		  "pause_ms", "44", NULL);
}

static void write_request_placed(struct log *log)
{
	log_write(log, LOG_LEVEL_INFO, "request_placed", "request",
		  "9c41d07be2a35f68", "endpoint", "i-7f3a91c2", "backup",
		  "i-acc31dbd26", "tokens", "3161", "held_requests", "3",
		  "held_copies", "5", "held_tokens", "30977", "unread_tokens",
		  "2777", NULL);
}

static void write_below_level(struct log *log)
{
	log_set_level(log, LOG_LEVEL_WARN);
	write_request_placed(log);
	log_set_level(log, LOG_LEVEL_INFO);
}

static void measure_line(struct log *log, const char *name,
			 void (*write_line)(struct log *log))
{
	double before = processor_us();

	for (int i = 0; i < LINES; i++)
		write_line(log);
	fprintf(stderr, "%-24s %6.2f us a line\n", name,
		(processor_us() - before) / LINES);
}

int main(void)
{
	struct log *log = log_create("bench", LOG_LEVEL_INFO);

	measure_line(log, "request_end, 13 fields", write_request_end);
	measure_line(log, "request_placed, 8 fields", write_request_placed);
	measure_line(log, "below the level", write_below_level);
	log_destroy(log);
	return 0;
}
