#!/bin/sh
# Checks that the pure objects call no clock, socket, thread, file or source
# of randomness: with them a run would depend on more than its events.
forbidden='socket|connect|bind|listen|accept|send|recv|poll|select|epoll_wait'
forbidden="$forbidden|clock_gettime|gettimeofday|time|nanosleep|usleep"
forbidden="$forbidden|pthread_create|g_thread_new|g_main_loop_run|g_timeout_add"
forbidden="$forbidden|g_get_monotonic_time|g_get_real_time|g_date_time_new_now_.*"
forbidden="$forbidden|rand|random|drand48|getrandom|g_random_.*|randombytes_.*"
forbidden="$forbidden|g_uuid_string_random|g_rand_new|fopen|open|read|write|fork"
forbidden="$forbidden|g_file_.*|soup_.*|zmq_.*|log4c_.*|getenv|g_getenv"
bad=$(nm --undefined-only "$@" | awk '$1 == "U" { print $2 }' | sed 's/@.*//' |
	sort -u | grep -xE "$forbidden")
globals=$(objdump -t "$@" | awk 'NF > 3 && $(NF-2) ~ /^\.(data|bss|tbss|tdata)(\.|$)/ &&
	$(NF-2) !~ /^\.data\.rel\.ro/ && $NF !~ /^[.*_]/ { print $NF }' | sort -u)
if [ -n "$bad" ]; then
	echo "pure objects call: $bad"
	exit 1
fi
if [ -n "$globals" ]; then
	echo "pure objects have writable globals: $globals"
	exit 1
fi
echo "pure: $# objects checked"
