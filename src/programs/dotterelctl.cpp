#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Operates a dotterelport fleet", ' ', "0.1.0");
    command.parse(argc, argv);
    return 0;
}
