#include "adapters/load_text.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Every field of an accepted report is in range; -1 means it is missing. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct load_report report;
	struct error error;

	if (load_text_parse((const char *)data, size, &report, &error) &&
	    (report.running < -1 || report.waiting < -1 ||
	     report.tokens_used < -1 || report.tokens_capacity < -1 ||
	     report.preemptions_total < -1 || report.reported_at_us < -1))
		abort();
	return 0;
}
