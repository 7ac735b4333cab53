# Sourced by sh scripts: reads files that give a source text with and without
# a safeguard or mechanism.

# Prints the value of a header field of the file.
field() { # FILE NAME
	sed -n "s/^$2: //p;/^---/q" "$1"
}

# Writes SOURCE with the replacements of MUTANT to TARGET; fails if a quoted
# text does not occur exactly once.
mutate() { # MUTANT SOURCE TARGET
	perl -e '
		use strict;
		local $/;
		my ($mutant, $source, $target) = @ARGV;
		open(my $m, "<", $mutant) or die;
		my ($head, @edits) = split(/^--- with\n/m, <$m>);
		open(my $s, "<", $source) or die;
		my $text = <$s>;
		die "no text to replace\n" unless @edits;
		for (@edits) {
			my ($old, $new) = split(/^--- without\n/m, $_, 2);
			my $count = () = $text =~ /\Q$old\E/g;
			die "text found $count times:\n$old" unless $count == 1;
			$text =~ s/\Q$old\E/$new/;
		}
		open(my $t, ">", $target) or die;
		print $t $text;' "$@"
}
